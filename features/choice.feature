Feature: Choice of target and second copies
  Requests to services not divided by key keep their tail while a target is slow, and
  extra requests stay within their budget.

  Scenario: A slowed target is left alone
    Given 4 targets that answer in about 5 ms, policy two-choices, copies off
    When 300 requests a second come for 2 s while one target is slowed 10 times
    Then the slowed target got at most 5 % of the requests
    And every answer belongs to its own request

  Scenario: A target that is fast again is used again
    Given 4 targets that answer in about 5 ms, policy two-choices, copies off
    When 300 requests a second come for 1 s while one target is slowed 10 times
    And 300 requests a second come for 3 s
    Then the formerly slowed target got at least 10 % of the first 300 requests

  Scenario: The tail holds against round robin
    Given 4 targets that answer in about 25 ms, policy round-robin, copies off
    And they are the arm baseline
    Given 4 targets that answer in about 25 ms, policy two-choices, copies on
    And they are the arm calm
    Given 4 targets that answer in about 25 ms, policy two-choices, copies on
    And they are the arm slowed
    When 150 requests a second come to each arm for 4 s
    And one target of the arms baseline and slowed is slowed 10 times
    And 150 requests a second come to each arm for 4 s
    Then the p99 of arm slowed is at most 0.5 of arm baseline
    And the p99 of arm slowed is at most 1.5 of arm calm
    And at most 5 % extra requests were sent

  Scenario: Second copies cut the tail of erratic targets
    Given 4 targets that answer in about 5 ms, policy two-choices, copies on
    And every request in 30 of each target takes 200 ms
    When 300 requests a second come for 2 s
    And 300 requests a second come for 2 s
    Then at most 5 % extra requests were sent
    And the p99 is at most 60 ms
    And copies were sent and every loser was cancelled
    And every answer belongs to its own request

  Scenario: Second copies stay within their budget
    Given 4 targets that answer in about 5 ms, policy two-choices, copies on
    And every request in 5 of each target takes 200 ms
    And second copies are sent after the median
    When 300 requests a second come for 2 s
    Then at most 5 % extra requests were sent
    And copies were sent and every loser was cancelled
    And every answer belongs to its own request

  Scenario: What is not idempotent gets no copy
    Given 4 targets that answer in about 5 ms, policy two-choices, copies on
    And every request in 5 of each target takes 200 ms
    And second copies are sent after the median
    When 300 non-idempotent requests a second come for 1 s
    Then no request ran twice

  Scenario: A target that refuses is left alone and nothing is lost
    Given 4 targets that answer in about 5 ms, policy two-choices, copies off
    And target 1 refuses everything with OVERLOADED
    When 300 requests a second come for 2 s
    Then every answer belongs to its own request
    And target 1 was asked at most 60 times

  Scenario: When all refuse, attempts stay within the budget
    Given 4 targets that answer in about 5 ms, policy two-choices, copies on
    And every target refuses everything with OVERLOADED
    When 300 requests a second come for 1 s
    Then the targets were asked at most 352 times
    And every answer has the code OVERLOADED

  Scenario Outline: Members that take no new work get none
    Given 4 targets that answer in about 5 ms, policy <policy>, copies on
    And target 1 is <state>
    When 300 requests a second come for 1 s
    Then target 1 was asked at most 0 times
    And every answer belongs to its own request

    Examples:
      | policy      | state             |
      | two-choices | leaving           |
      | two-choices | in a zone out     |
      | round-robin | leaving           |
      | round-robin | in a zone out     |

  Scenario: A silent target costs a read less than a second
    Given 4 targets that answer in about 5 ms, policy two-choices, copies on
    And target 1 is silent for 700 ms and is then lost
    When 100 requests a second come for 2 s
    Then every answer belongs to its own request
    And no request took longer than 1000 ms

  Scenario: A lost attempt beside a refused copy is not called not run
    Given 2 targets that answer in about 5 ms, policy round-robin, copies on
    When 300 requests a second come for 1 s
    Given target 1 is silent for 700 ms and is then lost
    And all other targets refuse everything with OVERLOADED
    When 100 requests a second come for 1 s
    Then no request that ran is called not run

  Scenario: A cold target gets a smaller part
    Given 4 targets that answer in about 5 ms, policy two-choices, copies off
    And target 1 is cold
    When 300 requests a second come for 2 s
    Then target 1 was asked at most 100 times
    And target 1 was asked at least 10 times
