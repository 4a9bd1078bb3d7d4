Feature: What a target says of itself in its answers
  # Guards against values that are taken for a limit though they are none
  Scenario Outline: A limit is a decimal number, and only that
    When an answer names the limits "<limits>"
    Then the limit is <limit>
    And the answer is <readable>

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

  # Guards against a word that is lost as another one beside it can't be read
  Scenario: A limit counts beside a leaving that can't be read
    When an answer says that its limit is "5" and its leaving "0"
    Then the limit is 5
    And it does not say that it leaves

  # Guards against an older word that takes the place of a newer one
  Scenario: Answers end out of order, and the latest word counts
    Given a node beside a target
    When answers that began at 20, 40 and 30 ms name the limits 20, 40 and 30
    Then the target's limit is 40

  Scenario: A limit ends with the first answer that names none
    Given a node beside a target
    When answers that began at 20 and 40 ms name the limits 20 and none
    Then the target's limit is none

  # Guards against a former start's word that binds the next one
  Scenario: A target that has started again has said nothing yet
    Given a node beside a target
    When answers that began at 20 ms name the limits 20
    And the target starts again
    Then the target's limit is none
    And an answer of the former start changes nothing

  # Guards against a log that is filled by a header that can't be read
  Scenario: A value that can't be read is told once, and leaves the limit as it was
    Given a node beside a target
    When answers that began at 20, 40 and 50 ms name the limits 20, abc and nan
    Then the target's limit is 20
    And the log says once that a header can't be read
    And the log says once that a limit is named

  # Guards against a burst by a restarted node that knows of no limit
  Scenario: A node that has started again takes a limit up from the mesh
    Given a node beside a target, both known to the mesh with a limit of 5
    When the node starts again and hears a heartbeat first
    Then it gives the target 2 requests at once at most
    When it hears of the mesh
    Then the target's limit is 5
    And it gives the target no request at once

  Scenario: The first answer of a target lets a node that has started again use all slots
    Given a node beside a target, both known to the mesh with a limit of 5
    When the node starts again and hears a heartbeat first
    And answers that began at 20 ms name the limits none
    Then it gives the target 18 requests at once at most
