Feature: A target owns no more rows than the answers to its heartbeats can name
  # Guards against answers that targets do not take: the keys of a target that owned 160
  # rows were held by nobody, and its low load brought it ever more
  Scenario: More rows than fit are granted one heartbeat after the other
    Given a target that owns 180 rows, each with a handover
    When it sends 4 heartbeats and takes what fits in 4096 bytes
    Then every answer to them took at most 4096 bytes
    And it holds all 180 rows
    And its node served no key before it was granted

  Scenario: Rows that never fit are not served, and all others are
    Given a target that owns 400 rows, each with a handover
    When it sends 6 heartbeats and takes what fits in 4096 bytes
    Then every answer to them took at most 4096 bytes
    And it holds at least 150 rows
    And its node served no key before it was granted

  # Guards against a held row that is left out for a new one, and comes back by turns
  Scenario: What a target holds is named before what it is to hold, with handovers or not
    Given a target that holds 180 rows and owns 60 more without handovers
    When it sends 2 heartbeats and takes what fits in 4096 bytes
    Then it still holds the 180 rows

  # Guards against all idle rows of a lost target that go to one other
  Scenario: The rows of a lost target go to all others, though they bring no load
    Given 10 members that own 100 idle rows each
    When one of them is lost
    Then no member owns more than 115 rows

  # Guards against a target with many rows and little load that gets ever more
  Scenario Outline: A target with too many rows gets none by <way>
    Given 4 members, one of them idle with 160 rows and one of them full
    When the coordinator moves keys by <way>
    Then keys move, and none to the one with too many rows

    Examples:
      | way       |
      | levelling |
      | relief    |
