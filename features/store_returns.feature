Feature: Ownership and evacuations hold when the store comes back from a copy
  # Guards against evacuations that are ignored since the store gave their revision out
  # before it came back from a copy (issue 55, EVAC)
  Scenario: A zone that is taken out after the store came back is known to all nodes
    Given a mesh of 6 keyed targets
    When the store is copied
    And operators take "zone-a" out of service and bring it back, 10 times
    And the store goes away for 800 ms and comes back from the copy
    And operators take "zone-b" out of service
    Then every node knows within 2000 ms that "zone-b" is out of service

  # Guards against an acknowledged evacuation that is forgotten until it is written again
  Scenario: An evacuation that the copy lacks stays in force until it is written again
    Given a mesh of 6 keyed targets
    When the store is copied
    And operators take "zone-a" out of service
    And the store goes away for 800 ms and comes back from the copy
    Then for 3000 ms every node has "zone-a" out of service
    When operators write that "zone-a" is out of service again and bring it back
    Then every node knows within 2000 ms that "zone-a" is in service

  # Guards against the same at nodes that have started since the store came back
  Scenario: A node that starts after the return learns of an evacuation that the copy lacks
    Given a mesh of 6 keyed targets
    When the store is copied
    And operators take "zone-a" out of service
    And the store goes away for 800 ms and comes back from the copy
    And a node that does not coordinate is killed and started again
    Then every node knows within 2000 ms that "zone-a" is out of service

  # Guards against the same when the coordinator is the one that has started
  Scenario: A coordinator that starts after the return learns of an evacuation that the copy lacks
    Given a mesh of 6 keyed targets
    When the store is copied
    And operators take "zone-a" out of service
    And the store goes away for 800 ms and comes back from the copy
    And the coordinator's node is killed and started again
    Then every node knows within 4000 ms that "zone-a" is out of service

  Scenario Outline: Zones read at <first> and then at <second> <result>
    Given a node that has read "zone-a" out of service in era <era> at revision <revision>
    When it is told that "zone-b" is out of service in era <other era> at revision <other revision>
    Then <zones> are out of service for the node

    Examples:
      | first  | era | revision | second | other era | other revision | result    | zones         |
      | (1, 9) | 1   | 9        | (2, 3) | 2         | 3              | are newer | zone-a,zone-b |
      | (2, 3) | 2   | 3        | (1, 9) | 1         | 9              | are older | zone-a        |
      | (2, 3) | 2   | 3        | (2, 4) | 2         | 4              | are newer | zone-b        |

  Scenario: A zone that operators do not take out again is in service after a while
    Given a node that has read "zone-a" out of service in era 1 at revision 9
    When it is told that "zone-b" is out of service in era 2 at revision 3
    And 15001 ms pass for its clock
    Then zone-b are out of service for the node
