Feature: A standing order runs at most once
  Scenario: An order sent again gets the first answer
    Given a target
    When an order is sent
    And the order is sent again
    Then its code is DONE
    And both answers are the same
    And the target ran 1 request

  Scenario: Copies of an order share one run
    Given a target
    When the same order is sent 10 times at once
    Then all requests are done
    And the target ran 1 request

  Scenario: An order goes on when its caller goes away
    Given a target
    When a caller sends an order and goes away while it runs
    And the order is sent again
    Then its code is DONE
    And the target ran 1 request

  Scenario: An id that was used for another request is refused
    Given a target
    When an order is sent
    And the order's id is sent with another body
    Then its code is ORDER_CONFLICT
    And the target ran 1 request

  Scenario Outline: An unknown id <age> is refused by number
    Given a target
    And the ownership began now
    When an order whose id is <age_ms> ms old is sent
    Then its code is <code>
    And the target ran <runs> request

    Examples:
      | age                     | age_ms | code                   | runs |
      | older than ownership    | 1000   | ORDER_BEFORE_OWNERSHIP | 0    |
      | made by a fast clock    | -5000  | ORDER_ID_INVALID       | 0    |

  Scenario: Orders of a mesh are sent again while their owners are killed
    Given a mesh of 5 fenced targets in 3 zones
    And each target takes 500 ms for a request
    And callers offer reads and orders on 24 keys for 8 s with seed 33
    When an owner is killed
    And the coordinator is killed
    Then the history of all calls keeps every promise
    And at least 3 owners changed and 200 requests were done

  Scenario: An order without a key is refused
    Given a target
    When an order without a key is sent
    Then its code is KEY_MISSING

  Scenario: A new owner answers from the records handed over
    Given a target
    When an order is sent
    And its key is handed over to another node
    And the order is sent again
    Then its code is DONE
    And both answers are the same
    And the target ran 1 request

  Scenario: Records that are evicted let nothing run twice
    Given a target
    And room for 20 order records
    When 100 orders are sent and each is sent again afterwards
    Then the target ran 100 requests
    And the history keeps every promise

  Scenario: An order that waited while its key moved away and back is not sent
    Given a target whose slots are taken
    When an order waits while the key's token changes
    Then its code is MOVING
    And no order ran

  Scenario: Orders sent again on every failure run once
    Given a target
    When 300 orders are sent again on every failure under faults by seed 7
    Then the history keeps every promise
    And at least 200 orders are done
