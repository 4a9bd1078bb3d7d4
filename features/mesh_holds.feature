Feature: A node grants its target no more than its lease and the table allow
  Background:
    Given a node with a row of keys and a lease of 6000 ms

  Scenario: A hold ends before the lease, however slow the target's clock
    When its target sends a heartbeat
    Then the hold ends before the lease, counted on a clock that is 2 percent slow

  Scenario: A lapsed lease renews nothing
    When 6000 ms pass for the node
    And its target sends a heartbeat
    Then the answer renews nothing

  Scenario: A moving row is let go, and reported only once the target let it go
    When its target sends a heartbeat
    And the row is marked for another member
    And its target, which still works on the row, sends a heartbeat
    Then nothing is granted
    And nothing is reported as unheld
    When its target, which let the row go, sends a heartbeat
    Then the row is reported as unheld
    And the release is reported with its handover

  Scenario: A row that was given up is never granted again under its token
    When its target sends a heartbeat
    And the target is found to have ended
    And its target sends a heartbeat
    Then nothing is granted
    When the row comes back under a higher token
    And its target sends a heartbeat
    Then the row is granted

  Scenario: A new start of the target frees the row of the former one
    When its target sends a heartbeat
    And a new start of the target sends a heartbeat
    Then nothing is granted
    And the row is reported as unheld

  Scenario: A target that is cut off from its node keeps its row until the hold has run out
    When its target sends a heartbeat
    And 5000 ms pass for the node
    Then nothing is reported as unheld
    When 1600 ms pass for the node
    Then the row is reported as unheld

  Scenario: A restarted node takes nothing from what its target holds
    When the node starts again
    Then nothing is reported as unheld
    And the answer renews nothing until it has a lease

  Scenario: A request for keys whose hold has run out is not sent to the target
    When its target sends a heartbeat
    Then a request for the row may be sent
    When 6000 ms pass for the node
    Then no request for the row may be sent

  Scenario: A restarted node goes by what its target says it holds
    When the node starts again
    Then a request for the row may be sent
    When its target, which holds nothing, sends a heartbeat
    Then no request for the row may be sent
    When its target, which still works on the row, sends a heartbeat
    Then a request for the row may be sent

  Scenario: A row of which a part was given up is reported only once all of it is let go
    When its target holds the row and is to let its second half go
    And its target, which let the second half go, sends a heartbeat
    Then the second half is reported as unheld
    When a new coordinator knows the row as a whole, without a mark
    Then nothing is reported as unheld
    When its target, which still holds the first half, sends a heartbeat
    Then nothing is granted
    And nothing is reported as unheld
    When its target, which holds nothing, sends a heartbeat
    Then the row is reported as unheld

  # Guards against work that ends with an error as the hold under which it began runs out
  Scenario Outline: Work that begins at any time may take longer than heartbeats are apart
    Given heartbeats of a target that come each <apart> ms
    When its node is leased rights 400 ms before a heartbeat
    Then work that begins just before the next one has <work> ms until its hold runs out

    Examples:
      | apart | work |
      | 870   | 1300 |
      | 1500  | 2250 |
