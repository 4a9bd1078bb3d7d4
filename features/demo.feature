Feature: The demo
  Scenario Outline: A whole deployment runs in one process and keeps every promise
    When the demo of "<deployment>" runs for 8 seconds
    Then it ends with exit status 0 and a table without broken promises
    And it started no other process

    Examples:
      | deployment    |
      | kowhai        |
      | hedelmaverkko |

  Scenario: A key that was not served is read until it is, which ends its gap
    When a demo key is refused, is refused 2 times more, and fails once later
    Then it was read 4 times and its longest gap ends with read 3

  Scenario Outline: A promise that a run broke ends the demo with status 7
    When a run of the demo ends in which <breach>
    Then it ends with exit status 7 and names "<promise>"

    Examples:
      | breach                        | promise             |
      | a target got more than it bears | only what it bears  |
      | a node is behind              | in force everywhere |
      | a request got no answer       | an answer           |
      | the zone that was out got work | no new work         |
