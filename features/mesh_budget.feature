Feature: Repeats stay within a budget that all nodes share
  Scenario: Repeats of all nodes together stay within the whole budget
    Given 11 nodes with a budget of 0.2 and a slack of 60
    When each gets 90 requests a second for 20 s and repeats all that it may
    Then no 10 s saw more than 0.2 of the requests and 60 repeated

  Scenario: Repeated runs and their calls stay within the budget of the service called
    Given 11 nodes with a budget of 0.2 and a slack of 60
    When 600 requests a second, of which each run makes 1.4 calls, all fail for 20 s
    Then no 10 s saw more than 0.2 of the calls and 60 repeated

  Scenario: A budget that was used up is earned again
    Given 1 nodes with a budget of 0.2 and a slack of 60
    When the budget is used up and 11 s pass without requests
    Then a repeat is allowed again

  Scenario: A request that was held up between nodes has less time left
    Given two nodes whose clocks differ by 1000 s
    When requests with 441 ms left take 2 ms, 3 ms and 785 ms between them
    Then they have at least 440 ms, 439 ms and at most 0 ms left
