Feature: Frames between nodes
  Scenario: Any bytes are decoded as a frame or rejected with a code
    When random bytes and random CBOR values are decoded as frames
    Then each is a validated message or is rejected with code 304

  Scenario: A decoded frame equals the frame that was sent
    When frames of every message type are encoded and decoded
    Then each message equals the one that was sent

  Scenario: An unnamed client and a hostile peer are rejected and the node keeps working
    Given the links of two nodes
    When a client that gives no node name dials a node
    Then it is rejected with status 400
    When a peer sends a malformed frame
    Then its link is closed and the other node is still answered

  Scenario: A silent link fails its requests within a second
    Given the links of two nodes
    When all frames from the second node are dropped
    Then a request to it fails as possibly handled within 1 s

  Scenario: An error code that only a later version knows counts as a lost answer
    Given the links of two nodes
    When the second node answers with error code 999
    Then a request to it fails with code 208
    And the router treats an answer with code 999 as possibly executed

  Scenario: A connection that is closed keeps its descriptor until its reader has ended
    Given the links of two nodes
    When the first node's connection to the second is closed
    Then its descriptor is open until its reader has ended

  Scenario: A link on which a large answer arrives slowly is not silent
    Given a link with a pending request
    When some bytes of a frame arrive every 400 ms for 4 s
    Then the link is open
    When nothing arrives for 1 s
    Then the link is closed as silent
