Feature: A target gets no more requests than its own limit
  # Guards against nodes that ignore the limit in answers: in one window of 4 s a target
  # got almost twice the allowed number, which is 1.5 times its limit (issue 22)
  Scenario: A limited target gets requests up to its limit, and other targets serve the rest
    Given a mesh of 3 keyed and 3 unkeyed targets
    When the unkeyed service gets 100 requests per second for 9000 ms and one of its targets sets a limit of 12 after 1000 ms
    Then from 3000 ms later the target got at most 77 requests in any 4 s
    And it got at least 36 requests in the last 4 s
    And every request was served

  # Guards against a limit that applies only to requests without a key
  Scenario: A limited target that holds the only requested key
    Given a mesh of 3 keyed targets
    When one key gets 100 requests per second for 9000 ms and its target sets a limit of 12 after 1000 ms
    Then from 3000 ms later the target got at most 77 requests in any 4 s
    And every refusal came within 400 ms with a retry time, and no refused request was executed

  # Guards against keys that stay at a target that can't serve them
  Scenario: Keys of a limited target move to targets without a limit
    Given a mesh of 3 keyed targets
    When 64 keys get 90 requests per second for 9000 ms and one target sets a limit of 5 after 1000 ms
    Then from 3000 ms later the target got at most 35 requests in any 4 s
    And at least 95 percent of the requests of the last 3000 ms were served

  # Guards against a limit that is applied only when the target sets it first
  Scenario: A limit that is lowered
    Given a mesh of 3 keyed and 3 unkeyed targets
    When the unkeyed service gets 100 requests per second for 9000 ms and one of its targets sets a limit of 40 and then 5 after 1000 ms
    Then from 3000 ms later the target got at most 35 requests in any 4 s
    And every request was served

  # Guards against a limit of 0 that counts as no limit, and against a limit that stays
  # in force after the target has removed it
  Scenario: A limit of 0 that is later removed
    Given a mesh of 3 keyed and 3 unkeyed targets
    When the unkeyed service gets 100 requests per second for 8000 ms and one of its targets sets a limit of 0 after 1000 ms
    Then from 3000 ms later the target got at most 5 requests in any 4 s
    And every request was served
    When it removes its limit and as many requests are sent for 5000 ms
    Then it got at least 60 requests in the last 2 s
    And every request was served

  # Guards against a burst from a restarted node that does not know the limit
  Scenario: The node of a limited target is killed and restarts
    Given a mesh of 3 keyed and 3 unkeyed targets
    When the unkeyed service gets 100 requests per second for 9000 ms, one of its targets sets a limit of 5 after 1000 ms and its node restarts after 5000 ms
    Then from 3000 ms later the target got at most 35 requests in any 4 s
