Feature: Tables of the experiments
  Scenario: A spread is the median with the smallest and the greatest
    Given a table of the values "3 1 2"
    Then its text holds "2 [1..3]" and its JSON the median 2

  Scenario: The share served counts requests in the second they were due
    Given samples due at "0.1 0.2 1.5 1.6 2.1" s of which those at "0.2 1.5 1.6" failed
    Then the shares of 3 seconds are "50 0 100" percent
    And the longest dip below 99 percent lasts 2 s

  Scenario: Each guard's text stands once in the code, and its scenario exists
    Then all guards can be taken out and name a scenario of their feature

  Scenario: A slope is read at a size that was not measured
    Given medians of 10, 20 and 40 at cells of 2, 4 and 8 nodes
    Then a cell of 16 nodes is worked out as 80
