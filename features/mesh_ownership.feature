Feature: Ownership decisions of the coordinator, without a network
  Scenario: An initial table divides the keys evenly
    Given 9 members without keys
    When the initial table is created
    Then every key has one owner
    And no member owns more than 7282 keys

  Scenario Outline: Adjacent keys have several owners in an initial table
    Given <members> members without keys
    When the initial table is created
    Then every key has one owner
    And any 2000 adjacent keys have at least <owners> owners
    And the response to each target's heartbeat has at most 4096 bytes

    Examples:
      | members | owners |
      | 2       | 2      |
      | 3       | 3      |
      | 9       | 8      |
      | 46      | 40     |
      | 140     | 60     |

  # Guards against a coordinator that gives the keys of all to the targets that return
  # first after a loss of power (issue 49)
  Scenario: Targets that are expected back keep their keys, and others' keys are spread
    Given a table of 9 members
    And 8 of the members are lost and no target holds their keys
    And 6 of the lost members are expected back
    When the coordinator plans 3 times
    Then the members that are expected back own their keys as before
    And the last member owns the keys of the others

  Scenario Outline: The rows of the remaining targets fit in the responses to heartbeats
    Given a table of <members> members
    And <lost> of the members are lost and no target holds their keys
    When the coordinator plans 3 times
    Then every key has one owner
    And the response to each target's heartbeat has at most 4096 bytes

    Examples:
      | members | lost |
      | 9       | 6    |
      | 46      | 30   |
      | 151     | 130  |

  Scenario: A row that no target holds is marked before it is reassigned
    Given a table of 3 members
    And the target of the first member has exited
    When the coordinator plans once
    Then its row still has its old owner and a next owner
    When the coordinator plans once more
    Then its row has another owner with a higher token

  Scenario: A row that may still be held is never reassigned
    Given a table of 3 members
    And the first member is silent but its lease has not expired
    When the coordinator plans 20 times
    Then no row has changed owners

  Scenario: The keys of a draining target are distributed by their load
    Given a table of 4 members
    And the first member drains with its load spread over 8 parts
    When the coordinator plans once
    Then its keys have 3 members as next owners
    And the released keys go to them with their handovers

  Scenario: A traffic spike on a few adjacent keys is spread over several targets
    Given a table of 9 members under even load
    And 200 adjacent keys of one target get 35 concurrent requests
    When the coordinator rebalances until no more keys move
    Then no target has more than 24 concurrent requests
    And fewer than 4 percent of the keys have moved

  Scenario Outline: The load of a key that gets most requests of a row is measured at that key
    Given a row of keys 1000 to 1999 whose key <key> gets 10 of 12 concurrent requests
    Then the measured load of the key is at least 7 and at most 12
    And the measured loads below and above the key are at most 4 each

    Examples:
      | key  |
      | 1000 |
      | 1001 |
      | 1500 |
      | 1998 |
      | 1999 |

  Scenario: The other keys of a target that one hot key overloads move away
    Given a table of 9 members under even load
    And 1 adjacent keys of one target get 10 concurrent requests
    When the coordinator rebalances for 4 s and each move takes 1 s
    Then no target has more than 12 concurrent requests
    And fewer than 12 percent of the keys have moved

  Scenario: Even load moves no keys
    Given a table of 9 members under even load
    When the coordinator rebalances until no more keys move
    Then no row has changed owners

  Scenario: A new target gets keys even while no target is busy
    Given a table of 3 members
    And a fourth member whose target is ready
    When the coordinator rebalances until no more keys move
    Then the fourth member owns keys

  Scenario: After any events every key has one row and no token has decreased
    When random events happen to tables of some members
    Then after each event every key has one row and no token has decreased

  Scenario: A node that applies all changes has the coordinator's board
    When random boards are published as changes, and some pushes are lost
    Then each node that received the last push has the coordinator's board
    And a change of one row out of 500 takes fewer than 500 bytes

  Scenario: The board of a 75-node mesh fits through a slow link when all nodes reconnect
    Given 75 members with realistic names, and 2048 rows with handovers
    Then the whole board takes fewer than 70000 bytes on a link

  Scenario: A member that gets the board with its lease is not sent the board again
    Given a coordinator's publisher and a member that has its board
    When the member renews its lease with an old board and a change is published
    Then only the change is pushed to the member

  # Guards against a successor that fills its VM's link with whole boards (issue 40)
  Scenario: A successor sends members that have the former board only what has changed
    Given 60 members that have the board of a former coordinator
    When another node publishes its first board, in which one row has changed
    Then all members have the new board
    And fewer than 60000 bytes of boards were sent

  # Guards against leases that wait behind boards for other members (issue 40)
  Scenario Outline: Members that lack the whole board get it some at a time, apart from leases
    Given 60 members that have no board, and a coordinator whose link has <mbps> Mbit/s
    When all of them renew their leases at once with the coordinator
    Then no answer has a board, and each says that the board follows
    And at most <boards> boards are on their way at any time
    And all members have the new board

    Examples:
      | mbps | boards |
      | 5    | 2      |
      | 20   | 7      |
      | 200  | 60     |

  # Guards against whole boards for all members at once when those that were down come back
  # (issue 40)
  Scenario: Members that were down when pushes failed get their boards in turn as well
    Given 60 members that have no board, and a coordinator whose link has 20 Mbit/s
    When pushes to all of them have failed for 1 s
    And all of them renew their leases at once with the coordinator
    Then no answer has a board, and each says that the board follows
    And at most 7 boards are on their way at any time
    And all members have the new board

  # Guards against a member without a lease because only its own requests get through,
  # but no push of its coordinator (issue 40)
  Scenario: A member that pushes do not reach gets the whole board with its lease
    Given 60 members that have no board, and a coordinator whose link has 20 Mbit/s
    When one of them renews its lease twice, 1 s apart, and pushes do not reach it
    Then the second answer has the whole board

  # Guards against a restarted coordinator, which knows no former board, that sends whole
  # boards to members whose boards differ by one row (issue 40)
  Scenario: A coordinator that has just started asks one member for the board that most have
    Given 60 members that have the board of a former coordinator
    When a node without a board publishes its first board, and all members renew their leases
    Then all members have the new board
    And fewer than 100000 bytes of boards were sent

  # Guards against whole boards for VMs that may be down (issue 40)
  Scenario: A member that no push has reached is sent no board before it answers
    Given 60 members that have the board of a former coordinator
    When another node publishes its first board, but no member answers for 2 s
    Then fewer than 60000 bytes of boards were sent

  Scenario: Among similarly loaded targets, keys go to the target whose heartbeat is due next
    Given a table of 9 members under even load
    And 200 adjacent keys of one target get 35 concurrent requests
    And the heartbeats of the targets are 100 ms apart
    When the coordinator rebalances once
    Then the moving keys have no holder for less than 400 ms

  Scenario: Targets that drain one after the other leave few rows and fast planning rounds
    Given a table of 12 members under even load
    When 16 members drain one after the other and half as many join
    Then the response to each target's heartbeat has at most 4096 bytes
    And no planning round took longer than 60 ms

  Scenario: Traffic spikes at many targets are spread from all of them at the same time
    Given a table of 46 members under even load
    And 8 targets get 14 concurrent requests on 40 adjacent keys each
    When the coordinator rebalances for 4 s and each move takes 1 s
    Then no target has more than 12 concurrent requests
    And no planning round took longer than 60 ms
