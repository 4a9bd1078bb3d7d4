Feature: Every caller gets the whole answer to its own request
  The callers' history is compared with the log of the target, a process of its own.

  Scenario Outline: Idempotent requests are answered whole although answers are <fault>
    Given a target
    When the target's next 8 answers are "<fault>"
    And 60 idempotent requests of 20 callers are sent at once
    Then all requests are done
    And the history keeps every promise

    Examples:
      | fault                 |
      | truncate_next         |
      | reset_next            |
      | reset_before_next     |
      | late_next             |
      | double_next           |
      | unframed_next         |

  Scenario Outline: An order whose answer is <fault> may have run and runs once
    Given a target
    When the target's next 1 answers are "<fault>"
    And an order is sent
    Then its code is <code>
    When the order is sent again
    Then its outcome is "may-have-run"
    And the history keeps every promise

    Examples:
      | fault             | code             |
      | truncate_next     | ANSWER_TRUNCATED |
      | unframed_next     | ANSWER_TRUNCATED |
      | reset_next        | ANSWER_LOST      |
      | reset_before_next | ANSWER_LOST      |
      | lose_answer_next  | ANSWER_LOST      |

  Scenario: Answers that nobody asked for reach nobody
    Given a target
    When the target's next 40 answers are "double_next"
    And 200 idempotent requests are sent one after the other
    Then all requests are done
    And the history keeps every promise

  Scenario: Answers that come after the deadline reach nobody
    Given a target
    When 20 requests give up before their late answers come
    And 200 idempotent requests are sent one after the other
    Then all requests are done
    And the history keeps every promise

  Scenario: A request that ran is not said to be not run when it can't be sent again
    Given a target
    When the target's next 1 answers are "reset_next"
    And a request runs while the node loses its key
    Then its code is ANSWER_LOST
    And the history keeps every promise

  Scenario: A request under an older token than granted does not run
    Given a target
    When another node's grant has a higher token
    And an order is sent
    Then its code is TARGET_FENCED
    And the target ran 0 requests

  Scenario: Silent connections cost an idempotent request less than a second
    Given a target
    When 20 idempotent requests of 20 callers are sent at once
    And the target's next 20 answers are "silent_next"
    And 20 idempotent requests of 20 callers are sent at once
    Then all requests are done
    And every request took at most 1000 ms

  Scenario: Big bodies arrive whole both ways
    Given a target
    When a request with a body of 8 MB asks for an answer of 8 MB
    Then all requests are done
    And the answer is whole and repeats the digest of the body

  Scenario: A cut answer is never taken for a whole one
    Given an encoded answer
    Then no part of it parses as a whole answer
    And bytes after it make its connection unusable
