Feature: A table in force is what the platform holds, and one cell alone keeps a service
  Scenario Outline: What is in force is what the platform holds
    Given a coordinator that keeps a table
    When it writes an owner and the answer is lost, the write having effect <effect>
    Then <result>
    And no table is in force that the platform does not hold

    Examples:
      | effect  | result                                       |
      | at once | the owner is in force                        |
      | never   | the write is refused and nobody owns a range |
      | later   | the write is refused and nobody owns a range |

  Scenario: A move that is not written asks nobody to release
    Given a coordinator that keeps a table
    And node-2 owns all its ranges and node-3 none
    When the coordinator moves a range and its write has no effect
    Then no node is asked to release
    And no table is in force that the platform does not hold

  Scenario: A trouble of a table that lasts is logged once
    Given a coordinator that keeps a table
    When its table can't be tended for 400 ms
    Then each round is counted and one line is logged

  Scenario: A range is not given away while a late request may still run
    Given a target that ignores fencing and requests of up to 700 ms
    When its node's lease lapses
    Then its ranges are free after another 700 ms

  Scenario: A second cell gets no keys of a service that another one keeps
    Given a mesh of 2 fenced targets in 2 zones
    When nodes and targets of the same service start in another cell
    Then the status of that cell names the cell that keeps the keys
    And the platform holds one table of the service
    And the keys are still served by their owners

  Scenario: A claim whose answer is lost is found again
    Given a coordinator that keeps a table
    When its claim of a service has effect and the answer is lost
    Then the next claim finds that its own cell keeps the keys
    And the claim of another cell finds the same
