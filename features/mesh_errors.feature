Feature: Unexpected errors and malformed words stop no part of a node
  # Guards against a plan that fails once and leaves a coordinator that moves no keys
  Scenario: An unexpected error while keys are planned
    Given a mesh of 3 keyed targets
    When the coordinator's plans fail 3 times with an unexpected error
    And a target without the coordinator is lost
    Then every key is held again within 9 s
    And the log names the error and where it came from

  # Guards against a renewal that fails once and leaves a node without a lease for good
  Scenario: An unexpected error while a lease is renewed
    Given a mesh of 3 keyed targets
    When a node's renewals fail 3 times with an unexpected error
    Then that node has a lease again within 3 s
