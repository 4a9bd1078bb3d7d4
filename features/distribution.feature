Feature: An accepted configuration is in force within 6 s and never goes back
  Scenario: Operators race while nodes are cut off and restarted
    Given a mesh of 5 fenced targets in 3 zones
    And the versions in force at every node are recorded
    When 3 operators race conflicting tickets for 10 s with seed 71
    And meanwhile a node is cut off from the platform and another from its peers
    And meanwhile a node is restarted and the platform loses 3 answers
    Then every accepted ticket was in force at every serving node within 6 s
    And no node's version ever went back
