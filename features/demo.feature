Feature: The demo
  Scenario Outline: A whole deployment runs in one process and keeps every promise
    When the demo of "<deployment>" runs for 8 seconds
    Then it ends with exit status 0 and a table without broken promises
    And it started no other process

    Examples:
      | deployment    |
      | kowhai        |
      | hedelmaverkko |
