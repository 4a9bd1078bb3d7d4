Feature: A key is served again within 2 s of a loss
  Scenario Outline: Losses under load
    Given a mesh of 6 fenced targets in 3 zones
    And callers offer reads on 40 keys for 6 s with seed <seed>
    When <loss> killed
    Then no key went longer than 2000 ms without an answer
    And the keys of living owners never went longer than <others> ms
    And the history of all calls keeps every promise

    Examples:
      | loss                                  | seed | others |
      | an owner is                           | 51   | 1000   |
      | the coordinator's process, an owner, is | 52 | 1000   |
      | an owner and the coordinator are      | 53   | 1000   |
