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
