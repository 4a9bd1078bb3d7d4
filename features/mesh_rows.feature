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
