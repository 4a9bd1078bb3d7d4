Feature: Unexpected errors and malformed values stop no part of a node
  # Guards against a coordinator that moves no keys any more after one failed plan
  Scenario: An unexpected error while the coordinator plans moves
    Given a mesh of 3 keyed targets
    When the coordinator's planning fails 3 times with an unexpected error
    And the VM of a node that does not coordinate is lost
    Then every key is held again within 9 s
    And the log names the error and where it was raised

  # Guards against a node that stays without a lease after one failed renewal
  Scenario: An unexpected error while a lease is renewed
    Given a mesh of 3 keyed targets
    When the lease renewals of a node fail 3 times with an unexpected error
    Then that node has a lease again within 3 s

  # Guards against health probes that stop for good at a header that is not a number
  Scenario Outline: A health page with a cold time of <value>
    Given an offline node whose target is not confirmed
    When its target's health page says that it is cold for "<value>" ms
    Then the target is usable, and cold for <ms> ms

    Examples:
      | value | ms   |
      | 1500  | 1500 |
      | abc   | 0    |
      | nan   | 0    |
      | inf   | 0    |
      | 1e999 | 0    |
      | -5    | 0    |

  # Guards against heartbeats that are accepted and then fail half-way
  Scenario Outline: A heartbeat with a cold time of <value> is refused
    When a heartbeat says that its target is cold for <value> ms
    Then it is refused with BAD_ANNOUNCEMENT

    Examples:
      | value     |
      | "nan"     |
      | "inf"     |
      | -1        |
      | null      |
      | [1]       |
      | 1e300     |
