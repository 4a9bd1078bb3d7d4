Feature: Quotas of workspaces are kept by all nodes together
  Background:
    Given terms of 5 s with an overage of 0.1 and a slack of 20

  Scenario: A workspace gets its rate and its burst, and no more
    Given 6 nodes and a workspace with a rate of 40 and a burst of 40
    When each node asks for 20 requests per second for 20 s
    Then no window has more requests than the quota allows
    And at least 0.95 of the rate was used from second 3 on

  Scenario: A workspace below its quota loses no request
    Given 6 nodes and a workspace with a rate of 40 and a burst of 40
    When each node asks for 4 requests per second for 20 s
    Then no request was refused

  # Guards against a burst that each accountant grants anew
  Scenario: Accountants that restart again and again grant no burst twice
    Given 6 nodes and a workspace with a rate of 40 and a burst of 40
    When each node asks for 20 requests per second for 20 s and a node restarts each 700 ms
    Then no window has more requests than the quota allows

  # Guards against two accountants that don't know of each other
  Scenario: An accountant that is cut off with other nodes shares the rate with its successor
    Given 6 nodes and a workspace with a rate of 40 and a burst of 40
    When each node asks for 20 requests per second for 20 s and the accountant and 2 others are cut off from second 8 to 14
    Then no window has more requests than the quota allows

  # Guards against an accountant that is cut off and still grants its whole burst and rate
  Scenario: An accountant that is cut off with a full bucket leaves room for its successor
    Given terms of 5 s with an overage of 0 and a slack of 1
    And 6 nodes and a workspace with a rate of 100 and a burst of 100
    When each node asks for 2 requests per second until second 8 and then for 100 until second 16, and the accountant and 2 others are cut off from second 8 on
    Then no window has more requests than the quota allows

  Scenario: A silent accountant takes no more of a calm workspace than it had before
    Given 6 nodes and a workspace with a rate of 40 and a burst of 40
    When each node asks for 3 requests per second for 20 s and the accountant is silent from second 8 to 16
    Then no window has more requests than the quota allows
    And at most 8 requests were refused

  Scenario: A lowered limit holds one window later, a raised one at once
    Given 6 nodes and a workspace with a rate of 40 and a burst of 40
    When each node asks for 20 requests per second for 20 s and the rate becomes 10 at second 10
    Then from second 15 on no window has more requests than a rate of 10 and a burst of 10 allow

  Scenario: The members of a mesh account for about as many workspaces each
    Given 64 nodes
    When the accountants of 6400 workspaces are listed
    Then each node accounts for 60 to 150 of them
    And without one node only its own workspaces have other accountants

  # The test of the whole: any window, whatever is lost, cut, restarted or late
  Scenario Outline: No window exceeds the quota in seeded schedules of faults
    When <count> schedules of faults are played from seed <seed>
    Then no window had more requests than the quota allows in any of them

    Examples:
      | count | seed |
      | 60    | 1    |
      | 1     | 1171 |
