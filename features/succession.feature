Feature: What a former process or coordinator knew is worth nothing
  Scenario: A write of a former coordinator fails once its successor has the tables
    Given a coordinator that has loaded a table
    When its successor loads the table and the coordinator then writes it
    Then the write fails and ends the coordinator's office
    And the table is as the successor read it

  Scenario: A voter that has just started promises nothing
    Given a voter that has just started
    Then it promises nothing until an earlier promise has run out
    And it promises a candidate afterwards

  Scenario: A promise of a former voter does not count for the next of its name
    Given an office with promises of all its voters
    When one voter is replaced by a process at another address
    Then the promise of the former one does not count

  Scenario: A heartbeat of a replaced process brings no lease
    Given a roster in which a process was replaced by one at another address
    When the replaced process sends a heartbeat as if nothing had happened
    Then it gets no lease

  Scenario: A successor waits for the leases of members that it does not hear
    Given a successor that knows a member and has not heard it
    Then the member's ranges are not free before its last lease has lapsed

  Scenario: A voter that was declared lost and comes back is no voter
    Given a coordinator whose voters were once declared lost
    When all of them are back at their former addresses
    Then it chooses none of them

  Scenario: A released range is refused until a newer view
    Given a node that owns a range
    When the coordinator releases the range
    Then a request on the range is refused with MOVING
    And it is granted after a newer view without a move

  Scenario: A lower version of the configuration is not taken
    Given a node with version 5 of the configuration
    When it is given version 4
    Then version 5 stays in force

  Scenario: A process does not release the ranges of the one before it
    Given a node that owns a range
    When the coordinator releases the range at the process before it
    Then the release is refused with NOT_OWNER and hands nothing over
