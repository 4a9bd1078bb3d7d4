Feature: Requests survive the loss of the connection between two nodes
  # Guards against requests that are cancelled, with status 504 for their callers, when
  # the network link of a VM is saturated.
  Scenario Outline: A link that is <link> cancels no <kind> in progress at a target
    Given a mesh of 2 nodes behind proxies whose targets take 2000 ms for each request
    When a <kind> is in progress at another node's target
    And the entry node's link to the other node is <link>
    Then its caller gets the target's own answer
    And it was executed once and nothing was cancelled

    Examples:
      | link                | kind  |
      | blocked for 1500 ms | order |
      | blocked for 1500 ms | read  |
      | permanently silent  | order |
      | permanently silent  | read  |
      | reset               | order |

  # Guards against a retry that uses up retry budget and executes the request needlessly.
  Scenario: A read whose key has no other target is not retried on a silent link
    Given a mesh of 2 nodes behind proxies whose targets take 2000 ms for each request
    When a read is in progress at another node's target
    And the entry node's link to the other node is blocked for 1500 ms
    Then its caller gets the target's own answer
    And no retry was counted at the entry node

  # Guards against cancelled requests at a node that was told to stop.
  Scenario: A blocked link cancels nothing that entered at a node which is stopping
    Given a mesh of 2 nodes behind proxies whose targets take 2000 ms for each request
    When a read is in progress at another node's target
    And the entry node is told to stop
    And the entry node's link to the other node is blocked for 1500 ms
    Then its caller gets the target's own answer
    And it was executed once and nothing was cancelled

  # Guards against orders that fail as possibly executed though they never arrived.
  Scenario: An order that is lost in transit runs once, on the next connection
    Given a mesh of 2 nodes behind proxies whose targets take 5 ms for each request
    When the link to a node becomes permanently silent before an order is sent to it
    Then its caller gets the target's own answer
    And it was executed once and nothing was cancelled

  # Guards against work for callers that disconnected while the link was silent.
  Scenario: A request whose caller has left is cancelled once the link is back
    Given a mesh of 2 nodes behind proxies whose targets take 4000 ms for each request
    When a read is in progress at another node's target
    And the entry node's link to the other node is permanently silent
    And its caller disconnects after 200 ms
    Then its target cancels it within 3 s

  # Guards against work that continues for a node that no longer exists.
  Scenario: The requests of a node that was killed are cancelled
    Given a mesh of 2 nodes behind proxies whose targets take 5000 ms for each request
    When a read is in progress at another node's target
    And the entry node is killed
    Then its target cancels it within 3 s

  # Guards against callers that wait until their deadline for a VM that is gone.
  Scenario: An order at a VM that becomes unreachable fails before its deadline
    Given a mesh of 2 nodes behind proxies whose targets take 8000 ms for each request
    When an order is in progress at a target whose VM then becomes unreachable
    Then its caller gets status 504 within 5 s

  Scenario: A resuming sender learns the state of each request that it awaits
    Given a session that has received the requests 1 to 4
    And 1 is running, 2 was answered and the answer to 3 is no longer cached
    When the sender resumes and awaits 1, 2, 3 and 9
    Then 9 is reported as never received and 3 as unknown
    And the answer to 2 is sent again
    And the previous connection is shut down

  # Guards against an order that fails as possibly executed, though it never arrived,
  # because the first report of this was lost.
  Scenario: A sender that resumes twice is told both times what was never received
    Given a session that has received the requests 1 to 4
    When the sender resumes and awaits 1, 2, 3 and 9, and then once more
    Then 9 is reported as never received, both times

  # Guards against orders that run twice because an expired session has no record of them.
  Scenario: A new session reports nothing as never received that may have run before
    Given a session that has received no requests yet
    When the sender resumes and awaits 1, 2, 3 and 9
    Then all of them are reported as unknown, and none as never received

  Scenario: Answers are cached for a limited time and up to a total size
    Given a cache for answers of 1000000 bytes
    When 20 answers are sent at once
    Then at most 8 answers are cached, the most recent ones
    When 5 s pass and another answer is sent
    Then at most 1 answers are cached, the most recent ones

  # Guards against senders, and the check of all links, that block on one slow reader.
  Scenario: A peer that stops reading delays no request beyond its timeout
    Given two nodes that are linked through a proxy
    When the proxy stops reading
    Then requests of 4000000 bytes fail within 300 ms, each on time
    And the link is known to be silent within 1 s

  # Guards against answers that are lost because their node stops before they are sent.
  Scenario: A node that stops has sent its last answers
    Given two nodes that are linked through a proxy
    When the second node answers 8000000 bytes, which the proxy reads 500 ms later
    And the second node stops within 2 s as soon as it has answered
    Then the first node gets the complete answer

  # Guards against links that count as saturated for good after a VM was lost with bytes
  # unsent.
  Scenario: A connection whose data is not acknowledged is closed
    Given two nodes that are linked through a proxy
    Then both ends close the connection if their data is not acknowledged for 5 s

  # Guards against requests whose timeout starts again once a connection is open.
  Scenario: A request that waits for a connection ends within its timeout
    Given two nodes that are linked through a proxy
    When a new connection takes about 240 ms and the second node does not answer
    Then a request with a timeout of 300 ms fails in time
