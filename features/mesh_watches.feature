Feature: Operators' changes reach all nodes in time, whatever becomes of watches
  # Guards against watches that wait on silent connections while a change is in force
  # for operators (issue 43)
  Scenario: A configuration reaches all nodes after all connections to the store fell silent
    Given a mesh of 6 keyed targets with proxies before the store
    When all open connections to the store fall silent
    And 500 ms later operators write a configuration
    Then every node has the newest configuration within 2000 ms

  # Guards against the same for zones that are taken out of service (issue 43)
  Scenario: A zone out of service is known to all nodes after all connections to the store fell silent
    Given a mesh of 6 keyed targets with proxies before the store
    When all open connections to the store fall silent
    And 500 ms later operators take a zone out of service
    Then every node knows within 2000 ms that the zone is out of service

  # Guards against a new coordinator that goes on with a watch that hears nothing: nodes
  # are in touch again 3 s after the connections fell silent (issue 43)
  Scenario: A configuration reaches all nodes when the connections fall silent and the coordinator is lost
    Given a mesh of 6 keyed targets with proxies before the store
    When 1500 ms pass in the mesh
    And all open connections to the store fall silent
    And the coordinator's node is killed
    And 500 ms later operators write a configuration
    Then every node has the newest configuration within 2500 ms

  # Guards against a late report of a watch that takes out a zone that is back (issue 43)
  Scenario: A watch that reports late does not undo what the node has read since
    Given a node that has read at revision 13 that no zone is out of service
    When its watch reports up to revision 10 that a zone went out of service
    Then no zone is out of service for the node, as of revision 13

  # Guards against reads of the configuration for each write whose answer is lost
  Scenario: Writes of the coordinator whose answers are lost are no changes of others
    Given a mesh of 3 keyed targets with proxies before the store
    When half of the coordinator's writes lose their answers for 4 s
    Then the coordinator has read no configuration for changes that it missed

  # Guards against reads after each write where no zone was ever taken out of service
  Scenario: A store that does not know the kind of zones is not read again and again
    Given a node whose store does not know the kind of zones
    When the node writes 4 times, 300 ms apart
    Then it has read the configuration once
