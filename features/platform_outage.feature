Feature: An outage of the platform stops only changes of owner
  Scenario: The platform is down for 60 s under load
    Given a mesh of 5 fenced targets in 3 zones
    And callers offer reads and orders on 24 keys for 70 s with seed 61
    When the platform is down for 60 s
    Then no key went longer than 1000 ms without an answer
    And an owner that is killed afterwards is replaced within 3 s
    And the history of all calls keeps every promise
