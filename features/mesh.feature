Feature: The harness of real processes
  What the proofs rely on works by itself: faults take effect and end again.

  Scenario: A node is killed, comes back at another address, and serves again
    Given a running mesh of 3 targets
    When node "n2" is killed and its keys are served again
    And node "n2" starts at another address
    Then all nodes serve and every request is done

  Scenario: A node is killed while the cell still adds voters
    Given a mesh of 3 targets that is just ready
    When node "n2" is killed and its keys are served again
    And node "n2" starts at another address
    Then all nodes serve and every request is done

  Scenario: A paused node comes back after its lease
    Given a running mesh of 3 targets
    When node "n3" is paused for 2 s
    Then all nodes serve and every request is done

  Scenario: A node that is cut off loses its lease and gets it back
    Given a running mesh of 3 targets
    When node "n1" is cut off from its peers and the platform
    Then node "n1" is not ready within 5 s
    When the cuts of node "n1" are removed
    Then all nodes serve and every request is done

  Scenario: A ticket is applied by the command line
    Given a running mesh of 3 targets
    When a ticket takes "zone-a" out and waits until it is in force
    Then the command exits with 0 and the platform holds "zone-a" as out
