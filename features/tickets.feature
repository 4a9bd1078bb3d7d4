Feature: Tickets change the configuration whole or not at all

  Scenario Outline: The examples of <deployment> are accepted one after the other
    Given an empty platform
    When the example tickets of "<deployment>" are applied in order
    Then each is accepted and the zone that went out is back in

    Examples:
      | deployment    |
      | kowhai        |
      | hedelmaverkko |

  Scenario: A wrong ticket file names each wrong field with what was expected
    When a ticket file with many mistakes is checked
    Then the problems name
      | field               | found            | expected          |
      | bogus               | an unknown field | one of the fields |
      | number              | 'x'              | a whole number    |
      | zones[0].name       | 'a b'            | letters, digits   |
      | zones[1].region     | nothing          | text              |
      | zones[1].state      | 'off'            | 'in' or 'out'     |
      | rules[0].key.kind   | 'cookie'         | 'header' or       |
      | rules[1].path_prefix | 'stock'          | a path            |
      | services[0].longest_request_ms | 0     | 1 to 600000       |
      | delete[0]           | 'zones'          | services/NAME     |

  Scenario: A ticket that is sent again changes nothing and says so
    Given a platform with the services of a mesh
    When the last ticket is applied again with its lists in another order
    Then it is accepted as repeated at the same version

  Scenario Outline: A ticket with <mistake> is refused with <code>
    Given a platform with the services of a mesh
    When a ticket with <mistake> is applied
    Then it is refused with code <code>
    And the configuration is unchanged

    Examples:
      | mistake                  | code |
      | an old number            | 402  |
      | a used number            | 403  |
      | an unknown service       | 404  |
      | an unknown deletion      | 404  |
      | a service in use deleted | 404  |
      | a zone in use deleted    | 404  |
      | a zone of a plain member deleted | 404 |
      | a keyless rule           | 401  |
      | a doubled prefix         | 401  |
      | too many objects         | 405  |

  Scenario: Operators that keep losing the race are told so
    Given a platform on which every write loses the race
    When a ticket is applied there
    Then it is refused with code 406

  Scenario: The digests of old tickets are dropped
    Given an empty platform
    When 600 tickets touch one zone
    Then the configuration keeps the last 512 digests
    And the first of them is refused with code 402

  Scenario Outline: Racing operators leave a history without halves (seed <seed>)
    Given a platform that loses 5 % of its answers with seed <seed>
    When 12 operators race 15 tickets each on shared objects
    Then every accepted ticket is one version of the history
    And no refused ticket is in the history
    And each version differs from the one before by exactly one ticket
    And the numbers that touched each object only grow

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |

  Scenario: No bytes break the reading of tickets
    Then arbitrary bytes and data read as tickets raise nothing but ticket errors
