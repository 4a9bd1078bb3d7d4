Feature: Traffic spikes on adjacent keys of a simulated service, without a network
  Scenario Outline: A traffic spike on <keys> keys is spread over as many targets as necessary
    Given <targets> keyed targets with <slots> slots get <per_s> requests per second of <work> ms
    And after 3 s <percent> % of the requests are for <keys> adjacent keys
    When <seconds> s are simulated with each of <seeds> seeds
    Then from <after> s after the start of the spike at least 90 % are served in time
    And no planning round takes longer than 60 ms

    Examples:
      | targets | slots | per_s | work | percent | keys | seeds | seconds | after |
      | 9       | 18    | 440   | 170  | 38      | 200  | 3     | 8       | 2     |
      | 40      | 3     | 300   | 120  | 38      | 200  | 3     | 8       | 2     |
      | 151     | 6     | 820   | 590  | 38      | 200  | 2     | 14      | 6     |

  Scenario: Targets that are slow for a short time keep their keys
    Given 46 keyed targets with 9 slots get 777 requests per second of 300 ms
    And 20 % of the targets are slow at any time, different ones in each period
    When 8 s are simulated with each of 3 seeds
    Then fewer than 10 % of all keys have moved
    And no planning round takes longer than 60 ms
