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

  # Guards against probes that end for good at a header that is no number
  Scenario Outline: A health page whose cold time is <value>
    Given a node without a network whose target is not confirmed
    When its target's health page says that it is cold for "<value>" ms
    Then the target is used, and cold for <ms> ms

    Examples:
      | value | ms   |
      | 1500  | 1500 |
      | abc   | 0    |
      | nan   | 0    |
      | inf   | 0    |
      | 1e999 | 0    |
      | -5    | 0    |

  # Guards against heartbeats that fail half-way, after they were taken
  Scenario Outline: A heartbeat whose cold time is <value> is refused
    When a heartbeat says that its target is cold for <value> ms
    Then it is refused as a bad announcement

    Examples:
      | value     |
      | "nan"     |
      | "inf"     |
      | -1        |
      | null      |
      | [1]       |
      | 1e300     |
