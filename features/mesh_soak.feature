Feature: Promises hold under random faults
  Scenario: A fault into which the end of a run falls is undone
    When the only faults of 1 s are freezes, the last one longer than the rest
    Then every fault is undone

  Scenario Outline: Random faults of seed <seed> break no promise
    When 4 node processes serve 60 requests a second under faults of seed <seed> for 20 s
    Then no promise was broken
    And every fault is undone
    And every key is held again and requests were served

    Examples:
      | seed |
      | 1    |
      | 2    |
