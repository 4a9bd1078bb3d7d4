Feature: An object that another writer left odd hides none of the objects beside it
  # Guards against an odd object that ends the task which follows the store, or makes it
  # reject the whole listing: nodes then learned of no configuration and no evacuation
  Scenario Outline: A listing and a watch give the sound objects beside one <oddity>
    Given a store with a sound object before and one after an object <oddity>
    When a client lists the objects and watches their changes
    Then both give the sound objects
    And the client has counted the odd object if it can't read it

    Examples:
      | oddity                              |
      | nested 2,000 deep                   |
      | nested 500,000 deep                 |
      | with a number too large             |
      | with an integer of 5,000 digits     |
      | with a port out of range            |
      | with a text as its specification    |
      | with null as its specification      |
      | with bytes that are no text         |
      | without a specification             |
      | without metadata                    |
      | with a text as its revision         |
      | with a revision below 0             |
      | with a list as its name             |
      | with metadata nested 2,000 deep     |
      | that is a number                    |
      | that is null                        |

  Scenario: A listing continues after a page whose last objects are odd
    Given a store with 1,200 objects of which every page ends with an odd one
    When a client lists the objects
    Then it gets every sound object once

  Scenario: A listing continues after a name that has to be quoted
    Given a store with 600 objects whose names have to be quoted
    When a client lists the objects
    Then it gets every sound object once

  Scenario: Splitting a nested listing holds up no other task
    Given a store with a sound object before and one after an object nested 500,000 deep
    When a client lists the objects while another task measures its delays
    Then the other task was never delayed by 250 ms

  Scenario: A mesh follows its operators while every kind has odd objects
    Given a mesh of 2 keyed targets
    When another writer stores all odd objects beside the configuration and the evacuations
    And operators write version 3
    Then version 3 is in force within 2 s
    When operators take the zone of a target out
    Then no node sends requests to that zone after 2 s
    And no task of a node has failed

  Scenario: A node that starts reads the configuration beside odd objects
    Given a mesh of 2 keyed targets
    When another writer stores all odd objects beside the configuration and the evacuations
    And all nodes are killed and started again
    Then every key is held again within 10 s
    And no task of a node has failed

  Scenario Outline: A configuration <oddity> leaves the last good one in force
    Given a mesh of 1 keyed targets
    When operators write version 2
    Then version 2 is in force within 2 s
    When another writer replaces the configuration by one <oddity>
    And 500 ms pass in the mesh
    Then version 2 is in force within 1 s
    When operators write version 4
    Then version 4 is in force within 2 s
    And no task of a node has failed

    Examples:
      | oddity                              |
      | nested 2,000 deep                   |
      | with a number too large             |
      | with an integer that no float holds |
      | with a text as its specification    |
      | with null as its specification      |

  # An evacuation is in its name; what else its writer left there does not matter.
  Scenario: An evacuation with an odd specification takes its zone out
    Given a mesh of 2 keyed targets
    When another writer evacuates the zone of a target by an object nested 2,000 deep
    Then no node sends requests to that zone after 2 s
