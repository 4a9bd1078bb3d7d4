Feature: The era of the store is part of whatever is read from it
  Scenario Outline: A header that states <header> after era 3 <result>
    Given a client of the store that has seen the eras 2 and 3
    When a response states the era "<header>"
    Then the response <result>
    And the known era is <era>

    Examples:
      | header | result          | era |
      | 3      | counts          | 3   |
      | 4      | counts          | 4   |
      | 2      | is not accepted | 3   |
      | 5      | is not accepted | 3   |
      | -4     | is not accepted | 3   |
      | 4.0    | is not accepted | 3   |
      | four   | is not accepted | 3   |
      | ٤      | is not accepted | 3   |
      | 99999999999999999999 | is not accepted | 3 |
      |        | is not accepted | 3   |

  Scenario: An era that is further ahead counts once it is confirmed
    Given a client of the store that has seen the eras 2 and 3
    When a response states the era "7"
    And a response states the era "7"
    Then the response counts
    And the known era is 7

  Scenario: A single wrong header does not hide the era
    Given a client of the store that has seen the eras 2 and 3
    When a response states the era "900"
    And a response states the era "3"
    Then the response counts
    And the known era is 3

  Scenario: A store without eras is served as before
    Given a client of the store that has seen no era
    When a response states the era ""
    Then the response counts
    And the known era is 0

  # Guards against a write whose revision names another state since the store came back
  Scenario: A write whose condition was read in an earlier era is not sent
    Given a store with eras, and a client that has read an object
    When the store comes back from a copy, and another writer uses the object's revision
    And the client reads another object and then replaces the first one
    Then the write fails since the era has ended
    And the object is that of the other writer

  # Guards against the same while the client does not know of the new era yet
  Scenario: A write that a new era executes by chance counts as failed
    Given a store with eras, and a client that has read an object
    When the store comes back from a copy, and another writer uses the object's revision
    And the client replaces the object
    Then the write fails since the era has ended

  Scenario: A watch from a revision that the copy lacks has expired
    Given a store with eras, and a client that has read an object
    When the store comes back from a copy that is older than the object
    Then a watch from the object's revision has expired
    And the known era of the client is 2

  Scenario Outline: The number after <number> in era <era> is <next>
    Then the number after <number> in era <era> is <next>

    Examples:
      | number  | era | next    |
      | 0       | 0   | 1       |
      | 7       | 0   | 8       |
      | 7       | 1   | 1000000 |
      | 1000004 | 1   | 1000005 |
      | 1000004 | 2   | 2000000 |
      | 1999999 | 1   | 2000000 |
