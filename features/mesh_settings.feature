Feature: Settings that change while a node runs
  Scenario: What a running node can take up is in force, the rest is named
    Given a mesh of 2 keyed targets
    When a node is given another store, slack, hold and zone
    Then it calls the new store, and grants and repeats by the new bounds
    And it keeps its zone

  Scenario: A file that changes without a signal is read
    Given processes of 2 nodes whose targets have 8 slots and work for 5 ms
    When the settings file of a node gives a hold of 7000 ms, without a signal
    Then its log says within 5 s that its settings have changed

  Scenario: A file that is read again without a change changes nothing
    Given processes of 2 nodes whose targets have 8 slots and work for 5 ms
    When a node gets SIGHUP though its file has not changed
    Then its log says nothing of settings
