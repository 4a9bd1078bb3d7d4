Feature: Invalid input from targets, operators and callers is refused without harm
  Scenario Outline: A heartbeat with <fault> is refused
    Given a heartbeat of a target
    When it is received with <fault>
    Then the heartbeat is refused with code 303

    Examples:
      | fault                   |
      | no state                |
      | an unknown state        |
      | a text as its slots     |
      | a key above the maximum |
      | bytes that are not JSON |
      | a list as its body      |
      | a fractional start time |
      | a holds list nested 2,000 deep |
      | a body nested 500,000 deep |
      | a number too large      |
      | a cold time that no float holds |
      | a sequence number of 400 digits |
      | more slots than can be counted |
      | a start time of 5,000 digits |
      | a text as its information |
      | no version              |
      | no cold time            |
      | no sequence number      |
      | a zone of 2,000 characters |
      | a row of four fields    |

  Scenario: A valid heartbeat is decoded completely
    Given a heartbeat of a target
    When it is received unchanged
    Then its holds, releases and start time are decoded

  Scenario: A heartbeat of an earlier incarnation changes nothing
    Given a node whose target is in its second incarnation
    When a heartbeat of its first incarnation arrives late
    Then the second incarnation is still the current one

  # Guards against a heartbeat that ends the task that serves it: the target got no
  # answer, and the error had no name
  Scenario Outline: A node answers a heartbeat with <fault> by 400, and keeps its target
    Given a mesh of 1 keyed targets
    When its node receives a heartbeat with <fault>
    Then the heartbeat gets the response status 400
    And the node still has its own target

    Examples:
      | fault                   |
      | a holds list nested 2,000 deep |
      | a body nested 500,000 deep |
      | a number too large      |
      | a cold time that no float holds |
      | a port out of range     |

  Scenario: A heartbeat for another service is refused
    Given a mesh of 1 keyed targets
    When its node receives a heartbeat for another service
    Then the heartbeat gets the response status 400
    And the node still has its own target

  Scenario: An invalid configuration leaves the current one in force
    Given a mesh of 1 keyed targets
    When operators write a configuration without routes
    And operators write version 3
    Then version 3 is in force within 2 s

  Scenario: A configuration never reverts to an older version
    Given a mesh of 1 keyed targets
    When operators write version 7
    Then version 7 is in force within 2 s
    When operators write version 5
    And 500 ms pass in the mesh
    Then version 7 is in force within 1 s

  Scenario: A new version reaches nodes whose watch has lost its history
    Given a mesh of 2 keyed targets
    When the store drops its history
    And operators write version 9
    Then version 9 is in force within 2 s

  Scenario: All invalid settings are reported together
    Given settings without a store and with a text as the maximum hold
    When the settings are parsed
    Then one error reports both

  Scenario Outline: Request smuggling by <trick> is refused
    Given a mesh of 1 keyed targets
    When a request is sent with <trick>
    Then the response status is 400
    And the target executed nothing

    Examples:
      | trick                         |
      | a length and chunks           |
      | two lengths                   |
      | a length that is not a number |

  Scenario Outline: An invalid value of a header is refused: <header>
    Given a mesh of 1 keyed targets
    When a request has the header "<header>"
    Then the response status is 400
    And the target executed nothing

    Examples:
      | header                    |
      | X-Timeout-Remaining: nan  |
      | X-Timeout-Remaining: soon |
      | X-Shard-Key: 65536        |
      | X-Shard-Key: \xb2         |

  Scenario: A key with too many digits is refused
    Given a mesh of 1 keyed targets
    When a request has a key of 5000 digits
    Then the response status is 400
    And the target executed nothing

  Scenario: Hop-by-hop headers do not reach the target
    Given a mesh of 1 keyed targets
    When a request lists one of its headers in Connection
    Then its target received neither Connection nor that header
    And it received the other headers

  Scenario: The response to HEAD has the content length that its body would have
    Given a mesh of 1 keyed targets
    When a HEAD request is sent
    Then the response is 200 within 500 ms
    And it has a content length and no body
