Feature: Odd objects among the coordinator's own end no election
  # Guards against an object beside the coordinator's tables that fails each election
  Scenario: A mesh elects a coordinator beside odd objects among its own
    Given a mesh of 2 keyed targets
    When another writer stores all odd objects beside the tables and the leader record
    And all nodes are killed and started again
    Then every key is held again within 10 s
    And the odd objects beside the tables are as they were
    And no task of a node has failed

  # Guards against an odd leader record that ends all elections
  Scenario Outline: A leader record <oddity> is followed by a term with a later epoch
    Given a mesh of 2 keyed targets
    When another writer replaces the leader record by one <oddity>
    Then a coordinator with a later epoch is elected within 10 s
    And every key is held again within 10 s
    And no key has two holders
    And no task of a node has failed

    Examples:
      | oddity                           |
      | nested 2,000 deep                |
      | with a number too large          |
      | with a text as its specification |
      | with null as its specification   |
      | with a port out of range         |

  Scenario: A node that claims over an odd leader record passes every epoch it can read
    Given a store with a table of epoch 7 and an odd leader record
    When a node that knows of epoch 5 claims the leadership
    Then its epoch is 8

  Scenario: A table's name that another writer has taken does not end the term
    Given a store with an odd object under the name of a table
    When a coordinator is elected and writes that table
    Then the write fails and the coordinator still leads
    And the odd object is as it was
