Feature: A node grants its target only what its lease and the ownership table allow
  Background:
    Given a node with a row of keys and a lease of 6000 ms

  Scenario: A hold ends before the lease even if the target's clock is slow
    When its target sends a heartbeat
    Then the hold ends before the lease on a clock that is 2 percent slow

  Scenario: An expired lease renews no holds
    When 6000 ms pass for the node
    And its target sends a heartbeat
    Then the reply renews no holds

  Scenario: A moving row is reported as unheld only after the target has released it
    When its target sends a heartbeat
    And the row is marked for a move to another member
    And its target, still holding the row, sends a heartbeat
    Then no row is granted
    And no row is reported as unheld
    When its target, having released the row, sends a heartbeat
    Then the row is reported as unheld
    And the release is reported with its handover

  Scenario: A withdrawn row is never granted again under its token
    When its target sends a heartbeat
    And the target is detected as dead
    And its target sends a heartbeat
    Then no row is granted
    When the row is assigned again under a higher token
    And its target sends a heartbeat
    Then the row is granted

  Scenario: A new incarnation of the target frees the row of the previous one
    When its target sends a heartbeat
    And a new incarnation of the target sends a heartbeat
    Then no row is granted
    And the row is reported as unheld

  Scenario: A target that is disconnected from its node keeps its row until the hold expires
    When its target sends a heartbeat
    And 5000 ms pass for the node
    Then no row is reported as unheld
    When 1600 ms pass for the node
    Then the row is reported as unheld

  Scenario: A restarted node takes away no row that its target holds
    When the node restarts
    Then no row is reported as unheld
    And the reply renews no holds until the node has a lease

  Scenario: A request for keys whose hold has expired is not sent to the target
    When its target sends a heartbeat
    Then a request for the row may be sent
    When 6000 ms pass for the node
    Then no request for the row may be sent

  Scenario: A restarted node relies on the holds that its target reports
    When the node restarts
    Then a request for the row may be sent
    When its target, holding no row, sends a heartbeat
    Then no request for the row may be sent
    When its target, still holding the row, sends a heartbeat
    Then a request for the row may be sent

  Scenario: A partly withdrawn row is reported as unheld only after all of it is released
    When its target holds the row and must release its second half
    And its target, having released the second half, sends a heartbeat
    Then the second half is reported as unheld
    When a new coordinator has the whole row, not marked for a move
    Then no row is reported as unheld
    When its target, still holding the first half, sends a heartbeat
    Then no row is granted
    And no row is reported as unheld
    When its target, holding no row, sends a heartbeat
    Then the row is reported as unheld

  # Guards against work that fails because its hold expires while the work is running
  Scenario Outline: Work that starts at any time may take longer than a heartbeat interval
    Given a target with a heartbeat interval of <interval> ms
    When its node gets a lease 400 ms before a heartbeat
    Then work that starts just before the next heartbeat has <work> ms until its hold expires

    Examples:
      | interval | work |
      | 870      | 1300 |
      | 1500     | 2250 |
