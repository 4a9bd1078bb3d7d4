Feature: The whole path as separate processes
  Scenario: A request enters at the node that does not own its key
    Given a mesh of 2 fenced targets in 2 zones
    When a caller asks for 20 keys at the node that does not own them
    Then each answer is the owner's whole answer to its own request
    And the history of all calls keeps every promise
