Feature: Much of the traffic goes to some neighbouring keys, without a network
  Scenario Outline: A rush on <keys> keys is spread over as many targets as it takes
    Given <targets> keyed targets of <slots> slots get <per_s> requests a second of <work> ms
    And after 3 s <percent> % of the requests are for <keys> neighbouring keys
    When <seconds> s pass, with <seeds> different seeds
    Then from <after> s after the rush began at least 90 % are served in time
    And no decision takes longer than 60 ms

    Examples:
      | targets | slots | per_s | work | percent | keys | seeds | seconds | after |
      | 9       | 18    | 440   | 170  | 38      | 200  | 3     | 8       | 2     |
      | 40      | 3     | 300   | 120  | 38      | 200  | 3     | 8       | 2     |
      | 151     | 6     | 820   | 590  | 38      | 200  | 2     | 14      | 6     |

  Scenario: Targets that are slow for a moment keep their keys
    Given 46 keyed targets of 9 slots get 777 requests a second of 300 ms
    And 20 % of the targets are slow at a time, others the next moment
    When 8 s pass, with 3 different seeds
    Then fewer than 10 % of all keys have moved
    And no decision takes longer than 60 ms
