Feature: The demo
  Scenario Outline: A deployment runs in one process and violates no guarantee
    When the demo of "<deployment>" runs for 8 seconds
    Then it exits with status 0 and prints a table without violations
    And it started no other process

    Examples:
      | deployment    |
      | kowhai        |
      | hedelmaverkko |

  Scenario: After a failure, a key is probed until a read succeeds, which ends its gap
    When a request for a key is refused, 2 probes are refused and a later request fails
    Then the key was probed 4 times and its longest gap ends with probe 3

  Scenario Outline: A run that violates a guarantee exits with status 7
    When a demo run ends in which <violation>
    Then it exits with status 7 and reports a violation of "<guarantee>"

    Examples:
      | violation                                        | guarantee           |
      | a target was overloaded                          | only what it bears  |
      | a node has a stale configuration                 | in force everywhere |
      | a request got no response                        | an answer           |
      | a target in an evacuated zone executed a request | no new work         |
