Feature: Routing through real processes
  The ingress and the client library against nodes and targets as processes; what
  callers saw is compared with what the targets ran.

  Scenario: The client library goes straight to owners and outlives one of them
    Given a mesh of 3 targets of depot-orders and a client of all its nodes
    When the client reads 30 mesh keys twice
    Then the second reply to each key came from its owner's node
    When one node is killed while the client sends 150 orders and 300 reads in 6 s
    Then every read was done within 4000 ms
    And no order of the client ran twice and none that did not run was run
    And at least 95 % of the orders were done

  Scenario: A slowed target costs callers of an unkeyed service no tail
    Given a mesh of 4 targets of catalogue with policy round-robin and no copies
    When 150 reads a second come for 4 s while one target is slowed 10 times
    And the p99 of the reads is kept as the baseline
    Given a mesh of 4 targets of catalogue with policy two-choices and copies
    When 150 reads a second come for 4 s while one target is slowed 10 times
    Then the p99 of the reads is at most 0.7 of the baseline
    And every read is its caller's own and at most 5 % ran beside them
