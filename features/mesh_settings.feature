Feature: A running node reloads its settings
  Scenario: Live settings are applied, and all others wait for a restart
    Given a mesh of 2 keyed targets
    When the settings of a node get another store, retry slack, hold time and zone
    Then it calls the new store, and limits holds and retries by the new values
    And it keeps its zone

  Scenario: A changed file is reloaded without a signal
    Given 2 node processes with targets of 8 slots and a service time of 5 ms
    When the settings file of a node sets a hold of 7000 ms, without a signal
    Then it logs within 5 s that its settings have changed

  Scenario: The reload of an unchanged file changes nothing
    Given 2 node processes with targets of 8 slots and a service time of 5 ms
    When a node gets SIGHUP while its file has not changed
    Then it logs nothing about settings
