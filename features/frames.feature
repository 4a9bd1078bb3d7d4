Feature: Frames between nodes
  Scenario: Any bytes are either a frame or a numbered refusal
    When any bytes and any CBOR values are decoded as frames
    Then each is a checked message or is refused with code 304

  Scenario: A frame comes back as it was sent
    When frames of every kind of message are encoded and decoded
    Then each message equals the one that was sent

  Scenario: A stranger and a hostile peer are refused and the node goes on
    Given the links of two nodes
    When a stranger that gives no name dials a node
    Then it is refused with status 400
    When a peer sends a broken frame
    Then its link is dropped and the other node is still answered

  Scenario: A silent link fails its requests within a second
    Given the links of two nodes
    When all frames from the second node are dropped
    Then a request to it fails as possibly handled within 1 s

  Scenario: A refusal that only a later version knows counts as a lost answer
    Given the links of two nodes
    When the second node refuses with code 999
    Then a request to it fails with code 208
    And the router takes an answer with code 999 for one that may have run

  Scenario: A connection that is dropped stays open until its reader has ended
    Given the links of two nodes
    When the first node's connection to the second is closed
    Then its descriptor is open until its reader has ended

  Scenario: A link on which a large answer comes slowly is not silent
    Given a link that owes an answer
    When some bytes of a frame come each 400 ms for 4 s
    Then the link is open
    When nothing comes for 1 s
    Then the link is closed as silent
