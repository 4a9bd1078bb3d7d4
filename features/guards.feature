Feature: Guards in the code that the guarantees depend on
  Scenario: The text of each guard occurs once in the code, and its scenario exists
    Then all guards can be removed and name a scenario of their feature
