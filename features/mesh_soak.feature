Feature: Promises hold under random faults
  Scenario Outline: Random faults of seed <seed> break no promise
    When 4 node processes serve 60 requests a second under faults of seed <seed> for 20 s
    Then no promise was broken
    And every key is held again and requests were served

    Examples:
      | seed |
      | 1    |
      | 2    |
