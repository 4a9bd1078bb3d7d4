Feature: Delivery keeps its promises on a whole mesh
  Scenario: Orders sent again on every failure, to any node, run once
    Given a mesh of 4 fenced targets in 2 zones
    When orders of 30 keys are sent again on every failure while by seed 41
      | fault                   |
      | a target crashes        |
      | an owner is killed      |
      | an owner is paused      |
      | an owner is killed      |
      | answers are broken off  |
      | a zone goes out         |
      | a zone comes back       |
    Then no order ran twice and every answer was true

  Scenario: A crashing read of an undivided service crashes two targets at most
    Given a mesh of an undivided service with 4 targets
    When a crashing read is sent 6 times to any node beside others
    Then the targets crashed at most 2 times in all
    And the other reads are done

  Scenario: Targets of a mesh are never given more than they bear
    Given a mesh of 4 fenced targets in 2 zones
    When 300 reads a second are offered while a target crashes and a zone leaves and returns
    Then no target was given more than it bears
