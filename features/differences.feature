Feature: Newer views and configurations travel as differences
  Scenario: A difference makes of any old value exactly the new one
    Then 100 pairs of values come out of their differences as they were

  Scenario: A member follows a change of owner by its difference
    Given a coordinator and a member with the same view
    When 8 ranges get another owner and a member joins
    Then what the member is sent takes less than a tenth of the whole view
    And the member holds the coordinator's view

  Scenario: A member that held none of the kept views gets the whole one
    Given a coordinator and a member with the same view
    When the coordinator publishes 20 more views
    Then the member is sent the whole view
    And the member holds the coordinator's view

  Scenario Outline: A difference that is of no use is counted and changes nothing
    Given a coordinator and a member with the same view
    When the member is sent a difference <flaw>
    Then it takes nothing and counts it
    And the next whole view is taken

    Examples:
      | flaw                      |
      | from an unknown version   |
      | that removes an unknown   |
      | of another shape          |
