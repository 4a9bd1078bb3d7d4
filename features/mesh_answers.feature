Feature: A node accepts only the target's complete answer to its request
  Scenario Outline: <bytes> is not a complete answer
    Given a target that answers with <bytes>
    When a request is sent to it
    Then it ends with code <code>
    And the connection is not reused

    Examples:
      | bytes                           | code |
      | a truncated body        | 207  |
      | bytes that are not HTTP         | 207  |
      | a reset after half an answer    | 207  |
      | a close without an answer       | 206  |
      | a reset in an answer without a length | 207 |
      | nothing                         | 206  |

  # Guards against a status that HTTP does not have, passed on to the caller (issue 43)
  Scenario Outline: An answer with <bytes> is not the answer to a request
    Given a target that answers with <bytes>
    When a request is sent to it
    Then it ends with code 207 before its timeout
    And the connection is not reused

    Examples:
      | bytes                            |
      | a status of 000                  |
      | a status of 000 without a length |
      | a status of 000 before an answer |
      | a status of 099                  |

  Scenario: An answer to an earlier request is skipped
    Given a target that answers with an answer to another request first
    When a request is sent to it
    Then its own answer is returned
    And the connection is not reused

  Scenario: An unexpected second answer ends the connection
    Given a target that answers with a second answer
    When a request is sent to it
    Then its own answer is returned
    And the connection is not reused

  Scenario: An answer without a length is complete once the connection is closed
    Given a target that answers with an answer without a length
    When a request is sent to it
    Then its own answer is returned
    And the connection is not reused

  Scenario Outline: <answer> is not accepted as the target's own
    Given a target that answers with <answer>
    When a request is sent to it
    Then the answer is rejected as invalid

    Examples:
      | answer                     |
      | a success without a signature |
      | an encoded body            |

  Scenario: The connection is reused after a complete answer
    Given a target that answers with a complete answer
    When a request is sent to it
    And a request is sent to it
    Then both used one connection

  Scenario: A target gets the caller and the remaining time, and the request is otherwise unchanged
    Given a mesh of 2 keyed targets
    When a request with a query, a body and a forged caller enters the mesh
    Then its target got method, path, query and body unchanged
    And it got the service of the entry node as caller
    And it got less time than the caller set

  Scenario: A node that has no configuration yet sends a retry time
    Given a mesh without a configuration
    When a request arrives before the configuration
    Then the answer is 503 with a retry time

  Scenario: A node that does not know the capacity of its target sends it no requests
    Given a mesh without a configuration
    When a peer sends its node a request before the configuration
    Then the request is refused as not run
    And no target executed a request

  Scenario: A request that was in flight at three crashes is refused, and other requests are not
    Given requests that were in flight at crashes
    When one was in flight three times, and another succeeded in between
    Then only the first is refused

  Scenario: Each service of a route gets its share even of few requests
    Given a route with two services of weights 90 and 10
    When services are chosen for 300 requests
    Then each service got its share within 2 percent

  Scenario: A crash counts even if a retry found the target down first
    Given a mesh of 1 keyed targets
    When a target crashes, a retry finds it down, and then the crash is checked twice
    Then one crash is recorded for the request in flight

  Scenario Outline: A request that a stopping node has <state> is answered
    Given a mesh of 2 keyed targets
    When a node stops while it has <state> a request
    Then the request is answered before the node has ended

    Examples:
      | state        |
      | not accepted |
      | not read     |
      | half read    |

  Scenario: A request that is unfinished when its node ends is answered and not cut off
    Given a mesh of 2 keyed targets whose work takes 4000 ms
    When a node stops within 1 s while its request waits at another node
    Then the request is answered with status 504 before the node has ended

  # Guards against requests that are accepted late in the grace time of a stopping node,
  # and are cut off at its end while their targets are at work (issue 40)
  Scenario Outline: A request that is complete only after a node has closed its listener is <result>
    Given a mesh of 2 keyed targets whose work takes 400 ms
    When the rest of a request with 6000 ms arrives 300 ms after the listener of a node that ends in <end> ms is closed
    Then the request is answered with status <status> before the node has ended
    And <runs> of the targets ran it

    Examples:
      | result                             | end  | status | runs |
      | refused if it may outlast the node | 600  | 503    | 0    |
      | served if it ends in time          | 9000 | 200    | 1    |

  # Guards against answers that are lost because their node ends before they are sent
  Scenario: A stopping node sends the answers that are queued for its network link
    Given a mesh in which the VM of a target without keys has a network link of 2 Mbit/s
    When its target has answered 4 requests with 25 KB each, and its node stops
    Then each of them gets its complete answer

  Scenario: A stopping node gives its target no more than the remaining time
    Given a mesh of 2 keyed targets
    When a node that ends in 2000 ms gets a request that may take 6000 ms
    Then its target got a remaining time of at most 1850 ms
    When a node that ends in 200 ms gets a request that may take 6000 ms
    Then the request is refused as not run

  Scenario: A request for a key that a silent target has not been granted yet is refused at once
    Given a mesh of 2 keyed targets
    When a target whose next heartbeat would grant it a key becomes silent
    Then a request for the key is refused by its node within 100 ms

  Scenario: A request for a key that its target gets after the longest wait is refused at once
    Given a mesh of 2 keyed targets
    When a target gets a key with its next heartbeat, which is due in 900 ms
    Then a request for the key that may take 1000 ms is refused within 100 ms, to be sent again after 700 to 900 ms

  Scenario: A node with a saturated network link refuses requests whose answers would be late
    Given a node with a target on a VM with a network link of 8 Mbit/s
    When 1500000 bytes of answers are queued for its network link
    Then a request with an objective of 500 ms is refused with a retry time of 1500 ms
    When 100000 bytes of answers are queued for its network link
    Then a request with an objective of 500 ms is served
