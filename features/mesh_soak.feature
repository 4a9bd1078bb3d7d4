Feature: Guarantees hold under random faults
  Scenario: A fault that is active when a run ends is reverted
    When nodes are frozen at random for 1 s, the last time beyond the end of the run
    Then every fault is reverted

  Scenario Outline: Random faults of seed <seed> violate no guarantee
    When 4 node processes serve 60 requests a second under faults of seed <seed> for 20 s
    Then no guarantee was violated
    And every fault is reverted
    And every key is held again and requests were served

    Examples:
      | seed |
      | 1    |
      | 2    |
