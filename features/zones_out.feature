Feature: A zone that is out and a target that leaves get no new work after 3 s
  Scenario: A zone is taken out while its node is cut off from the platform
    Given a mesh of 6 fenced targets in 3 zones
    And callers offer reads and orders on 24 keys for 9 s with seed 81
    When a zone is taken out while its nodes are cut off from the platform
    Then its targets started nothing new after 3 s
    And no key went longer than 2000 ms without an answer
    And the history of all calls keeps every promise

  Scenario: A target leaves while its node is cut off from the platform
    Given a mesh of 6 fenced targets in 3 zones
    And callers offer reads and orders on 24 keys for 9 s with seed 82
    When a target announces its leaving while its node is cut off from the platform
    Then its targets started nothing new after 3 s
    And no key went longer than 2000 ms without an answer
    And the history of all calls keeps every promise

  Scenario: A node is shut down gracefully
    Given a mesh of 6 fenced targets in 3 zones
    And callers offer reads and orders on 24 keys for 8 s with seed 83
    When a node that owns keys is shut down by SIGTERM
    Then no request in flight there was cut off
    And no key went longer than 2000 ms without an answer
    And the history of all calls keeps every promise
