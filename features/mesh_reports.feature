Feature: A target reports its limit in the headers of its responses
  # Guards against invalid values that are accepted as a limit
  Scenario Outline: Only a decimal number is accepted as a limit
    When a response has the limits "<limits>"
    Then the reported limit is <limit>
    And the report is <readable>

    Examples:
      | limits    | limit | readable |
      | 22.1      | 22.1  | readable |
      | 0         | 0     | readable |
      | 0.25      | 0.25  | readable |
      | none      | none  | readable |
      | abc       | none  | not readable |
      | -1        | none  | not readable |
      | nan       | none  | not readable |
      | inf       | none  | not readable |
      | 1e999     | none  | not readable |
      |           | none  | not readable |
      | 5, 6      | none  | not readable |
      | 5;6       | none  | not readable |
      | ٣         | none  | not readable |

  # Guards against a valid limit that is lost because another header is invalid
  Scenario: A valid limit applies despite an invalid leaving header
    When a response has the limit "5" and the leaving header "0"
    Then the reported limit is 5
    And the report does not say that the target is leaving

  # Guards against an older limit that replaces a newer one
  Scenario: Responses end out of order, and the latest limit applies
    Given a node with a target
    When responses that began at 20, 40 and 30 ms have the limits 20, 40 and 30
    Then the target's limit is 40

  Scenario: The first response without a limit ends the limit
    Given a node with a target
    When responses that began at 20 and 40 ms have the limits 20 and none
    Then the target's limit is none

  # Guards against a limit of a former incarnation that applies to the next one
  Scenario: A restarted target has no limit until it reports one
    Given a node with a target
    When responses that began at 20 ms have the limits 20
    And the target restarts
    Then the target's limit is none
    And a late response of the former incarnation changes nothing

  # Guards against a log line for each response with an invalid header
  Scenario: An invalid value is logged once and does not change the limit
    Given a node with a target
    When responses that began at 20, 40 and 50 ms have the limits 20, abc and nan
    Then the target's limit is 20
    And it logs once that a header is invalid
    And it logs once that a limit is reported

  # Guards against a burst from a restarted node that does not know the limit yet
  Scenario: A restarted node restores the limit from the board
    Given a board with a node whose target has a limit of 5
    When the node restarts and receives a heartbeat first
    Then it sends the target at most 2 requests without waiting
    When it receives the board
    Then the target's limit is 5
    And it sends the target no request without waiting

  Scenario: The first response of a target lets a restarted node use all slots
    Given a board with a node whose target has a limit of 5
    When the node restarts and receives a heartbeat first
    And responses that began at 20 ms have the limits none
    Then it sends the target at most 18 requests without waiting
