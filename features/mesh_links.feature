Feature: What a target is at work on outlives the connection that it came over
  # Guards against work that is cut, and callers that get 504, when a VM's link is full.
  Scenario Outline: A link that is <link> cuts no <kind> that a target is at work on
    Given a mesh of 2 nodes behind proxies whose targets work for 2000 ms
    When a <kind> is at work at a target beside another node
    And the link to that node is <link>
    Then its caller gets the target's own answer
    And it ran once and nothing was cut

    Examples:
      | link                | kind  |
      | held up for 1500 ms | order |
      | held up for 1500 ms | read  |
      | silent for good     | order |
      | silent for good     | read  |
      | reset               | order |

  # Guards against a share of the retry budget, and a second run, for nothing.
  Scenario: A read whose key has no other target is not repeated on a silent link
    Given a mesh of 2 nodes behind proxies whose targets work for 2000 ms
    When a read is at work at a target beside another node
    And the link to that node is held up for 1500 ms
    Then its caller gets the target's own answer
    And no repeat was counted at the node where it entered

  # Guards against the same at a node that was told to stop.
  Scenario: A link that is held up cuts nothing that entered at a node which stops
    Given a mesh of 2 nodes behind proxies whose targets work for 2000 ms
    When a read is at work at a target beside another node
    And the node where it entered is told to stop
    And the link to that node is held up for 1500 ms
    Then its caller gets the target's own answer
    And it ran once and nothing was cut

  # Guards against orders that are given up as possibly run though they never arrived.
  Scenario: An order that is lost on its way runs once, on the next connection
    Given a mesh of 2 nodes behind proxies whose targets work for 5 ms
    When the link to a node falls silent for good before an order is sent to it
    Then its caller gets the target's own answer
    And it ran once and nothing was cut

  # Guards against work for callers that left while the link was held up.
  Scenario: What nobody awaits any more ends once the link is back
    Given a mesh of 2 nodes behind proxies whose targets work for 4000 ms
    When a read is at work at a target beside another node
    And the link to that node is silent for good
    And its caller leaves after 200 ms
    Then its target's work is cut within 3 s

  # Guards against work that goes on for a node that is gone.
  Scenario: The work for a node that was killed ends
    Given a mesh of 2 nodes behind proxies whose targets work for 5000 ms
    When a read is at work at a target beside another node
    And the node where it entered is killed
    Then its target's work is cut within 3 s

  # Guards against callers that wait until their deadline for a VM that is gone.
  Scenario: An order at a VM that is lost without a word ends before its deadline
    Given a mesh of 2 nodes behind proxies whose targets work for 8000 ms
    When an order is at work at a target whose VM is then cut off for good
    Then its caller gets status 504 within 5 s

  Scenario: A sender learns of each request what its peer knows
    Given a session that has taken the requests 1 to 4
    And 1 is at work, 2 was answered and the answer of 3 is not kept any more
    When the sender resumes and awaits 1, 2, 3 and 9
    Then 9 never came and nothing is known of 3
    And the answer to 2 is sent again
    And nothing of its former connection is taken

  # Guards against orders that are called lost as the first word of them was lost.
  Scenario: What never came is told again to a sender that did not hear of it
    Given a session that has taken the requests 1 to 4
    When the sender resumes and awaits 1, 2, 3 and 9, and then once more
    Then 9 never came, both times

  # Guards against orders that run twice as a session that was forgotten knows nothing.
  Scenario: A session that begins anew calls nothing unseen that may have run before
    Given a session that has taken no requests yet
    When the sender resumes and awaits 1, 2, 3 and 9
    Then nothing is known of any of them, and none counts as unseen

  Scenario: Answers are kept for a while, and not more than a VM bears
    Given answers of 1000000 bytes that are kept
    When 20 of them are sent at once
    Then at most 8 are kept, the last ones
    When 5 s pass and one more is sent
    Then at most 1 are kept, the last ones

  # Guards against senders, and the watch of all links, that wait for one slow reader.
  Scenario: A peer that reads nothing holds nobody up beyond the time given
    Given two nodes that are linked through a proxy
    When the proxy takes no more bytes
    Then requests of 4000000 bytes fail within 300 ms, each on time
    And the link is known to be silent within 1 s

  # Guards against answers that a node had, and that ended with it.
  Scenario: A node that ends has sent its last answers
    Given two nodes that are linked through a proxy
    When the second node answers 8000000 bytes, which the proxy takes 500 ms later
    And the second node stops within 2 s as soon as it has answered
    Then the first node gets the whole answer

  # Guards against links that count as full for good after a VM was lost with bytes unsent.
  Scenario: A connection whose bytes nobody confirms ends
    Given two nodes that are linked through a proxy
    Then both ends of the link end if nobody confirms their bytes for 5 s

  # Guards against requests that get their time anew once a connection is there.
  Scenario: A request that waits for a connection ends within its time
    Given two nodes that are linked through a proxy
    When a new connection takes some 240 ms and the second node does not answer
    Then a request with 300 ms fails in time
