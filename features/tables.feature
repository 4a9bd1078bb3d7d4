Feature: A table's write without a clear answer is settled before anybody acts on it
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

  Scenario: A range is not given away while a late request may still run
    Given a target that ignores fencing and requests of up to 700 ms
    When its node's lease lapses
    Then its ranges are free after another 700 ms
