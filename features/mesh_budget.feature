Feature: Retries stay within a budget that all nodes share
  Scenario: The retries of all nodes together stay within the whole budget
    Given 11 nodes with a retry ratio of 0.2 and a slack of 60
    When each gets 90 requests per second for 20 s and retries all it may
    Then at most 0.2 of the requests plus 60 are retried in any 10 s

  Scenario: Retried executions and their calls stay within the budget of the callee
    Given 11 nodes with a retry ratio of 0.2 and a slack of 60
    When 600 requests per second, each making 1.4 calls when it is executed, all fail for 20 s
    Then at most 0.2 of the calls plus 60 are retried in any 10 s

  # Guards against a retry budget that begins anew with its process (issue 43)
  Scenario: Nodes that restart again and again stay within the whole budget
    Given 13 nodes with a retry ratio of 0.2 and a slack of 60
    When each gets 10 requests with keys per second for 30 s, retries all it may, and restarts every 4 s
    Then at most 0.2 of the requests plus 60 are retried in any 10 s

  # Guards against what one process has saved and the next one earns in the same window
  # (issue 43)
  Scenario: Nodes that restart once they have used what they saved stay within the whole budget
    Given 13 nodes with a retry ratio of 0.2 and a slack of 60
    When each gets 50 requests with keys per second for 30 s, retries all it may from second 10 on, and restarts at second 11
    Then at most 0.2 of the requests plus 60 are retried in any 10 s

  # Guards against a slack divided by the few members that a new board names (issue 43)
  Scenario: Nodes whose boards lose members for a while stay within the whole budget
    Given 13 nodes with a retry ratio of 0.2 and a slack of 60
    When each gets 10 requests with keys per second for 30 s, retries all it may, and each board names 4 members for 1 s in 5
    Then at most 0.2 of the requests plus 60 are retried in any 10 s

  # Guards against a budget that is counted over another time than the operators' (issue 43)
  Scenario: The budget is kept in each window of the length that is set
    Given 13 nodes with a retry ratio of 0.2 and a slack of 60 in 25 s
    When each gets 2 requests with keys per second for 60 s and retries all it may
    Then at most 0.2 of the requests plus 60 are retried in any 25 s

  Scenario: An exhausted budget recovers
    Given 1 nodes with a retry ratio of 0.2 and a slack of 60
    When the budget is exhausted and 11 s pass without requests
    Then a retry is allowed again

  # Guards against memory that grows with each request for as long as nothing is retried
  Scenario: A budget remembers only the requests of its window
    Given 1 nodes with a retry ratio of 0.2 and a slack of 60
    When 20000 requests come in 40 s and nothing is retried
    Then the budget remembers at most 5001 requests

  Scenario: A request that was delayed between nodes has less time remaining
    Given two nodes whose clocks differ by 1000 s
    When requests with 441 ms remaining take 2 ms, 3 ms and 785 ms from one to the other
    Then at least 440 ms, at least 439 ms and at most 0 ms remain
