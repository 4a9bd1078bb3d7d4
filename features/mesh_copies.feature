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

  # Guards against a late duplicate of a refusal with the id of an order that is sent to
  # the target once more: the order was reported as not run, and ran
  Scenario Outline: A late duplicate of a <status> does not answer the same order sent again
    Given a target that answers an order's first attempt with <status> and repeats it late
    When the order is sent to it twice
    Then the second attempt gets the response to the run
    And the attempts came over 2 connections

    Examples:
      | status |
      | 503    |
      | 421    |
      | 429    |
      | 500    |

  # Guards against the same duplicate after other requests have used the connection
  Scenario: A connection does not carry an attempt again after other requests
    Given a target that answers an order's first attempt with 503 and repeats it late
    When the order, 100 other requests and the order again are sent to it
    Then the second attempt gets the response to the run

  Scenario: An attempt that is sent again gets a connection although the limit is reached
    Given a target that answers an order's first attempt with 503 and repeats it late
    And at most 1 connection to the target
    When the order is sent to it twice
    Then the second attempt gets the response to the run

  # Guards against the same with requests that have no id which could tell them apart
  Scenario: A late duplicate does not answer the next request without an id
    Given a target that repeats each response without an id before the next response
    When two requests without an id are sent to it
    Then each gets its own response

  Scenario: A connection remembers no attempt whose deadline has passed
    Given a connection that carried 1000 attempts, the latest of them unexpired
    When the expired attempts are removed
    Then it remembers only the latest one

  # Guards against the same fault in the whole mesh: the node beside the target sends the
  # order again because the key has no other target
  Scenario: No order that a mesh refuses has run while targets refuse and repeat refusals
    Given a mesh of 2 keyed targets that refuse and repeat their refusals late
    When 300 orders are sent to it
    Then no refused order has run, and none has run twice
    And some orders were refused, and some have run

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
