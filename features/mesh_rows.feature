Feature: A target owns no more rows than the responses to its heartbeats can list
  # Guards against responses that are too large for a target: the keys of a target with
  # 160 rows had no holder, and because of its low load it got ever more rows
  Scenario: Rows that do not fit in one response are granted at later heartbeats
    Given a target that owns 180 rows, each with a handover
    When it sends 4 heartbeats and accepts responses of up to 4096 bytes
    Then every response had at most 4096 bytes
    And it holds all 180 rows
    And its node served no key that was not granted yet

  Scenario: Rows that never fit in a response are not served, but all others are
    Given a target that owns 400 rows, each with a handover
    When it sends 6 heartbeats and accepts responses of up to 4096 bytes
    Then every response had at most 4096 bytes
    And it holds at least 150 rows
    And its node served no key that was not granted yet

  # Guards against held rows that alternate with new ones in the responses
  Scenario: Held rows are listed before new ones, with or without handovers
    Given a target that holds 180 rows and owns 60 more without handovers
    When it sends 2 heartbeats and accepts responses of up to 4096 bytes
    Then it still holds the 180 rows

  # Guards against a lost target whose idle rows all go to one other target
  Scenario: The rows of a lost target go to all others, even without load
    Given 10 members that own 100 idle rows each
    When one of them is lost
    Then no member owns more than 115 rows

  # Guards against a target with many rows and little load that gets ever more rows
  Scenario Outline: A target at the row limit gets no rows by <way>
    Given 4 members, one of them idle with 160 rows and one of them overloaded
    When the coordinator moves keys by <way>
    Then keys move, and none of them to the member with too many rows

    Examples:
      | way         |
      | rebalancing |
      | relief      |

  # Guards against a row without keys, [end + 1, end], which no target can take
  Scenario Outline: A row is split without empty parts where releases <overlap>
    Given a row of the keys 29000 to 29352
    When it is split at releases of the keys <releases>
    Then its parts are <parts>

    Examples:
      | overlap                    | releases                 | parts                    |
      | overlap beyond its end     | 28000-29400, 29000-29400 | 29000-29352              |
      | overlap within it          | 29000-29100, 29050-29200 | 29000-29100, 29101-29200, 29201-29352 |
      | are the same               | 29010-29020, 29010-29020 | 29000-29009, 29010-29020, 29021-29352 |
      | end before it              | 28000-28999              | 29000-29352              |
      | are its last key, twice    | 29352-29352, 29352-29400 | 29000-29351, 29352-29352 |
