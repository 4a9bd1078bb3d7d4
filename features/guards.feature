Feature: Guards of what must hold
  Scenario: Each guard's text stands once in the code, and its scenario exists
    Then all guards can be taken out and name a scenario of their feature
