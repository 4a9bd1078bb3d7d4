Feature: From the id of a failed request to its cause, by logs alone
  Scenario: A request that was refused by a full target
    Given processes of 2 nodes whose targets have 1 slots and work for 400 ms
    When 12 requests for one key come at once
    Then one of them failed with status 503
    And the story of it says "was full"

  Scenario: A request that met a crashed target
    Given processes of 2 nodes whose targets have 8 slots and work for 5 ms
    When a target crashes and a request for its key comes at once
    Then one of them failed with status 503
    And the story of it says "target"

  Scenario: A request whose target was too slow
    Given processes of 2 nodes whose targets have 8 slots and work for 3000 ms
    When 1 requests for one key come at once
    Then one of them failed with status 504
    And the story of it says "no whole answer in time"

  Scenario: Logs that nobody reads slow no request
    Given processes of 2 nodes whose logs nobody reads
    When 2000 requests without a target and then 20 good ones are sent
    Then each good one took less than 200 ms

  Scenario: Lines of failures are bounded, and what is left out is counted
    Given a log of decisions
    When 1000 failures and 1000 successes are noted at once
    Then 300 failures and 4 successes are written
    And the report says that 700 failures and 996 successes were left out

  Scenario: A node's process stops in order and says so
    Given processes of 2 nodes whose targets have 8 slots and work for 5 ms
    When a node's process gets SIGTERM
    Then it ends with status 0 within 6 s
    And its log ends with its stop

  Scenario: A bad reload keeps the settings and says so
    Given processes of 2 nodes whose targets have 8 slots and work for 5 ms
    When the settings of a node are broken and it gets SIGHUP
    Then its log says that the settings were not taken
    And it still serves requests

  Scenario Outline: The lines of a run explain <request>
    Given the log lines that a run left of <request>
    When its story is told
    Then its cause says "<text>"

    Examples:
      | request                                    | text                            |
      | a request past its objective               | the objective had passed        |
      | a request to a target under a limit        | the limit of 5.0 requests       |
      | a request while no coordinator was found   | 'coordinator not found'         |
      | a request beside a move of its key         | after 'keys given'              |
      | a request that its target gave up          | sent 18 times before a target   |
