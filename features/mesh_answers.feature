Feature: A node takes only the target's whole answer to the request that it sent
  Scenario Outline: <bytes> is no answer
    Given a target that answers with <bytes>
    When a request is sent to it
    Then it ends with code <code>
    And the connection is not used again

    Examples:
      | bytes                           | code |
      | a body that is cut short        | 207  |
      | bytes that are not HTTP         | 207  |
      | a reset after half an answer    | 207  |
      | a close without an answer       | 206  |
      | a reset in an answer of no length | 207 |
      | nothing                         | 206  |

  Scenario: An answer to an earlier request is skipped
    Given a target that answers with an answer to another request first
    When a request is sent to it
    Then its own answer is returned
    And the connection is not used again

  Scenario: A second answer that nobody asked for ends the connection
    Given a target that answers with a second answer
    When a request is sent to it
    Then its own answer is returned
    And the connection is not used again

  Scenario: An answer without a length is whole once the connection is closed
    Given a target that answers with an answer of no length
    When a request is sent to it
    Then its own answer is returned
    And the connection is not used again

  Scenario Outline: <answer> is not the target's own
    Given a target that answers with <answer>
    When a request is sent to it
    Then the answer is not taken for sound

    Examples:
      | answer                     |
      | a success without its mark |
      | an encoded body            |

  Scenario: The connection of a whole answer is used again
    Given a target that answers with a whole answer
    When a request is sent to it
    And a request is sent to it
    Then both came on one connection

  Scenario: A target learns who called, how long it may take, and nothing else is changed
    Given a mesh of 2 keyed targets
    When a request with a query, a body and a forged caller enters the mesh
    Then its target got method, path, query and body unchanged
    And it got the service beside which the request entered as caller
    And it got less time than the caller gave

  Scenario: A node that has no configuration yet says when to come back
    Given a mesh whose operators have written nothing
    When a request comes before the configuration
    Then the answer is 503 with a time to come back

  Scenario: A node that does not know what its target bears gives it nothing
    Given a mesh whose operators have written nothing
    When a peer sends its node a request before the configuration
    Then the request is refused as not run
    And no target ran anything

  Scenario: A request that was present at three crashes is refused, and innocents are not
    Given requests that were present at crashes
    When one was there three times, and another succeeded in between
    Then only the first is refused

  Scenario: Each part of a route gets its share, also of few requests
    Given a route that is shared by 90 and 10
    When 300 requests choose their part
    Then each part got its share within 2 percent

  Scenario: A crash counts though a repeat found the target down first
    Given a mesh of 1 keyed targets
    When a target crashes, a repeat finds it down, and then the crash is looked into twice
    Then the request that was there counts for one crash

  Scenario Outline: A request that a stopping node has <state> is answered
    Given a mesh of 2 keyed targets
    When a node stops while it has <state> a request
    Then the request is answered before the node has ended

    Examples:
      | state        |
      | not accepted |
      | not read     |
      | half read    |

  Scenario: A request that is not done when its node ends is answered, not cut off
    Given a mesh of 2 keyed targets whose work takes 4000 ms
    When a node stops within 1 s while a request waits at another one
    Then the request is answered with status 504 before the node has ended

  # Guards against answers that are lost as their node ends before the link took them
  Scenario: A node that stops sends the answers that wait for its link
    Given a mesh in which the VM of a target without keys has a link of 2 Mbit/s
    When its target has answered 4 requests with 25 KB each, and its node stops
    Then each of them gets its whole answer

  Scenario: A node that stops gives its target no more than the time that is left
    Given a mesh of 2 keyed targets
    When a node has 2000 ms left before it ends and gets a request that may take 6000 ms
    Then its target was told at most 1850 ms
    When a node has 200 ms left before it ends and gets a request that may take 6000 ms
    Then the request is refused as not run

  Scenario: A request for a key that a silent target would take is refused at once
    Given a mesh of 2 keyed targets
    When a target whose next heartbeat would bring it a key falls silent
    Then a request for the key is refused by its node within 100 ms

  Scenario: A node whose answers wait for its link refuses what would come too late
    Given a node of a VM with 8 Mbit/s beside a target
    When 1500000 bytes of answers wait for its link
    Then a request with an objective of 500 ms is refused, to come back in 1500 ms
    When 100000 bytes of answers wait for its link
    Then a request with an objective of 500 ms is done
