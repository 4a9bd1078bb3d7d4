Feature: A response belongs to the request that it names, even if it is duplicated
  # Guards against a late duplicate of a failure that names no request: the next caller on
  # the connection got it, and an order that was executed was reported as not run
  Scenario Outline: A late duplicate of a response arrives before the next response
    Given a target that sends a late duplicate of <response> on a reused connection
    When a health check without an id and then an order are sent to it
    Then the duplicate is not taken as the response to the order

    Examples:
      | response                    |
      | a 503 without an id         |
      | a 500 without an id         |
      | a 429 without an id         |
      | a 503 that names no request |
      | a 200 without an id         |

  # Guards against reporting a request as not run when the target has not confirmed it
  Scenario Outline: A refusal without the target's confirmation is reported as possibly run
    Given an offline node whose target answers <status>
    When an order is sent to it
    Then the order is reported as possibly run

    Examples:
      | status |
      | 503    |
      | 429    |
      | 408    |

  Scenario: A target's 503 that confirms that it executed nothing is a refusal
    Given an offline node whose target answers 503 and confirms that it executed nothing
    When an order is sent to it
    Then the order is reported as not run

  # Guards against a target that looks idle and fast because it refuses every request
  Scenario Outline: Refusals by a target do not change its service time, and count as load
    Given an offline node whose target works for 100 ms and answers <response>
    When 100 requests for one key are sent to it, one after the other
    Then the expected service time of a request is still 100 ms
    And the load of the key is that of 100 requests of 100 ms

    Examples:
      | response                                  |
      | 421                                       |
      | 503 and confirms that it executed nothing |
