Feature: An answer belongs to the request that it names, also when it comes twice
  # Guards against a late copy of a failure that names no request: the next caller on the
  # connection got it, and an order that ran was told as not run
  Scenario Outline: A late copy of an answer comes before the next one
    Given a target that sends a late copy of <answer> on a connection in use again
    When a question without an id and then an order are sent to it
    Then the order does not end with that copy

    Examples:
      | answer                      |
      | a 503 without an id         |
      | a 500 without an id         |
      | a 429 without an id         |
      | a 503 that names no request |
      | a 200 without an id         |

  # Guards against a status that promises not run where the target promised nothing
  Scenario Outline: A refusal of a target without its word that it ran nothing promises nothing
    Given a node without a network whose target answers <status>
    When an order is sent to it
    Then the order is told as possibly run

    Examples:
      | status |
      | 503    |
      | 429    |
      | 408    |

  Scenario: A target's 503 with its word that it ran nothing is a refusal
    Given a node without a network whose target answers 503 and that it ran nothing
    When an order is sent to it
    Then the order is told as not run

  # Guards against a target that looks idle and fast as it refuses all that it gets
  Scenario Outline: Refusals of a target are no work, and count as the load that they stand for
    Given a node without a network whose target works for 100 ms and answers <answer>
    When 100 requests for one key are sent to it, one after the other
    Then the usual time of a request is still 100 ms
    And the key's load is that of 100 requests of 100 ms

    Examples:
      | answer                      |
      | 421                         |
      | 503 and that it ran nothing |
