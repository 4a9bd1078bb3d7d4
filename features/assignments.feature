Feature: An acknowledged assignment survives
  Scenario: The coordinator and then a zone are lost
    Given a mesh of 6 fenced targets in 3 zones
    And callers offer reads and orders on 24 keys for 10 s with seed 41
    When the coordinator is killed
    And within 5 s its vote has passed to a living node
    And every node of one zone is killed
    Then within 4 s every key is served by a living owner
    And no range of a living owner changed hands by the loss of others
    And the history of all calls keeps every promise

  Scenario: Every process of the system is lost at once
    Given a mesh of 5 fenced targets in 3 zones
    And callers offer reads and orders on 24 keys for 12 s with seed 42
    When every node is killed at once and started again
    Then within 6 s every key is served by a living owner
    And tokens never went back in the platform
    And the history of all calls keeps every promise

  Scenario: More than half of the voters are lost for good
    Given a mesh of 5 fenced targets in 3 zones
    And callers offer reads and orders on 24 keys for 16 s with seed 44
    When 3 voters are killed for good
    Then the status names the silent voters
    When a ticket declares them lost
    Then within 6 s every key is served by a living owner
    And the history of all calls keeps every promise

  Scenario: Answers of the platform are lost after their effect
    Given a mesh of 5 fenced targets in 3 zones
    And callers offer reads and orders on 24 keys for 10 s with seed 43
    When the platform loses the next 3 answers to writes and an owner is killed
    Then within 6 s every key is served by a living owner
    And the history of all calls keeps every promise
