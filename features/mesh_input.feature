Feature: What others say to a node is decoded once, and broken input harms nothing
  Scenario Outline: A heartbeat with <fault> names no target
    Given the heartbeat of a target
    When it comes with <fault>
    Then the heartbeat is refused with code 303

    Examples:
      | fault                    |
      | no state                 |
      | an unknown state         |
      | a text for its slots     |
      | a key above the highest  |
      | bytes that are no JSON   |
      | a list for all           |
      | a fraction for its start |

  Scenario: A good heartbeat is decoded whole
    Given the heartbeat of a target
    When it comes as it is
    Then its holds, releases and start are known

  Scenario: A heartbeat of an earlier start changes nothing
    Given a node's view of a target that has started twice
    When a heartbeat of its first start comes late
    Then the second start is still the one that counts

  Scenario: A heartbeat of another service at this address is refused
    Given a mesh of 1 keyed targets
    When a heartbeat of another service comes to its node
    Then the heartbeat is answered with 400
    And the node still names its own target

  Scenario: A broken configuration keeps the one in force
    Given a mesh of 1 keyed targets
    When operators write a configuration without routes
    And operators write version 3
    Then version 3 is in force within 2 s

  Scenario: A configuration never goes back
    Given a mesh of 1 keyed targets
    When operators write version 7
    Then version 7 is in force within 2 s
    When operators write version 5
    And 500 ms pass in the mesh
    Then version 7 is in force within 1 s

  Scenario: Versions reach nodes whose watch has lost its history
    Given a mesh of 2 keyed targets
    When the store drops its history
    And operators write version 9
    Then version 9 is in force within 2 s

  Scenario: All wrong settings are named at once
    Given settings without a store and with a text for the longest hold
    When they are read
    Then both are named in one error

  Scenario Outline: Two requests in one, by <trick>, are refused
    Given a mesh of 1 keyed targets
    When a request comes with <trick>
    Then the response status is 400
    And the target ran nothing

    Examples:
      | trick                         |
      | a length and chunks           |
      | two lengths                   |
      | a length that is no number    |

  Scenario Outline: A number that is none is refused: <header>
    Given a mesh of 1 keyed targets
    When a request has the header "<header>"
    Then the response status is 400
    And the target ran nothing

    Examples:
      | header                       |
      | X-Timeout-Remaining: nan     |
      | X-Timeout-Remaining: soon    |
      | X-Shard-Key: 65536           |
      | X-Shard-Key: \xb2           |

  Scenario: A key of more digits than can be read is refused
    Given a mesh of 1 keyed targets
    When a request has a key of 5000 digits
    Then the response status is 400
    And the target ran nothing

  Scenario: Headers that concern one connection only do not reach the target
    Given a mesh of 1 keyed targets
    When a request names a header of its own in Connection
    Then its target got neither Connection nor that header
    And it got the other headers

  Scenario: The answer to HEAD has the length that its body would have
    Given a mesh of 1 keyed targets
    When a HEAD request comes
    Then the answer is 200 within 500 ms
    And it tells a length and has no body
