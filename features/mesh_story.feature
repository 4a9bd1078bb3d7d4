Feature: The story command finds the cause of a failed request from logs alone
  Scenario: A request that a full target refused
    Given 2 node processes with targets of 1 slots and a service time of 400 ms
    When 12 requests for one key are sent at once
    Then one of the requests failed with status 503
    And the story of that request says "was full"

  Scenario: A request to a crashed target
    Given 2 node processes with targets of 8 slots and a service time of 5 ms
    When a target crashes and a request for its key is sent at once
    Then one of the requests failed with status 503
    And the story of that request says "target"

  Scenario: A request whose target was too slow
    Given 2 node processes with targets of 8 slots and a service time of 3000 ms
    When 1 requests for one key are sent at once
    Then one of the requests failed with status 504
    And the story of that request says "no complete response in time"

  Scenario: Log output that nobody reads does not slow down requests
    Given 2 node processes whose log output nobody reads
    When 2000 requests without a target and then 20 valid ones are sent
    Then each valid request took less than 200 ms

  Scenario: Request lines are rate-limited, and suppressed lines are counted
    Given a request log
    When 1000 failures and 1000 successes are logged at once
    Then 300 failures and 4 successes are written
    And the report counts 700 failures and 996 successes as suppressed

  Scenario: A node's process shuts down gracefully and logs its end
    Given 2 node processes with targets of 8 slots and a service time of 5 ms
    When a node's process gets SIGTERM
    Then it exits with status 0 within 6 s
    And its log ends with a line about its stop

  Scenario: A reload of invalid settings is logged, and the old settings stay
    Given 2 node processes with targets of 8 slots and a service time of 5 ms
    When a node's settings file becomes invalid and the node gets SIGHUP
    Then it logs that the settings were rejected
    And it still serves requests

  Scenario Outline: The log lines of <request> explain its cause
    Given the log lines of <request>
    When the story is created from the lines
    Then the cause in the story says "<text>"

    Examples:
      | request                                    | text                            |
      | a request past its objective               | the objective had passed        |
      | a request to a target under a limit        | the limit of 5.0 requests       |
      | a request while no coordinator was found   | 'coordinator not found'         |
      | a request during a move of its key         | after 'keys given'              |
      | a request that its target answered late    | sent 18 times before a target   |

  Scenario: The causes of all failed requests are counted from logs alone
    Given log lines of 3 requests at a full target and of 2 whose target refused them
    And a log line of 7 failures that have none
    When the causes are counted from the lines
    Then 3 requests failed by "full queue" and 2 by "refused by target"
    And 7 failures have no line
