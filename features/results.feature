Feature: Numbered result codes
  Scenario: Every code has a complete entry in the table
    Given the result codes
    Then each code has a meaning, an outcome and an HTTP status
