Feature: The coordinator's decisions on keys, without a network
  Scenario: Keys are divided evenly at first
    Given 9 members without keys
    When the first table is made
    Then every key has one owner
    And no member owns more than 7282 keys

  Scenario Outline: Busy keys that lie together have several owners from the start
    Given <members> members without keys
    When the first table is made
    Then every key has one owner
    And any 2000 neighbouring keys have at least <owners> owners
    And the answer to each target's heartbeat takes at most 4096 bytes

    Examples:
      | members | owners |
      | 2       | 2      |
      | 3       | 3      |
      | 9       | 8      |
      | 46      | 40     |
      | 140     | 60     |

  Scenario Outline: What the targets that are left hold fits in the answers to heartbeats
    Given a table of <members> members
    And <lost> of the members are lost, so that nobody holds their keys
    When the coordinator plans 3 times
    Then every key has one owner
    And the answer to each target's heartbeat takes at most 4096 bytes

    Examples:
      | members | lost |
      | 9       | 6    |
      | 46      | 30   |
      | 151     | 130  |

  Scenario: A row that nobody holds is marked before it is given away
    Given a table of 3 members
    And the target of the first member has ended
    When the coordinator plans once
    Then its row still has its old owner and a mark
    When the coordinator plans once more
    Then its row has another owner under a higher token

  Scenario: A row that may still be held is never given away
    Given a table of 3 members
    And the first member is silent but its lease runs
    When the coordinator plans 20 times
    Then no row has changed its owner

  Scenario: The keys of a draining target are spread by their load
    Given a table of 4 members
    And the first member drains with its load spread over 8 parts
    When the coordinator plans once
    Then its keys are marked for 3 members
    And the released keys go to them with their handover

  Scenario: A morning rush on a few neighbouring keys is taken apart
    Given a table of 9 members under even load
    And 200 neighbouring keys of one target get 35 requests at once
    When the coordinator balances until it rests
    Then no target bears more than 24 requests at once
    And fewer than 4 percent of the keys have moved

  Scenario Outline: The load of a key that bears most of a row is found at that key
    Given a row of keys 1000 to 1999 whose key <key> bears 10 of 12 requests at once
    Then the load found at the key is at least 7 and at most 12
    And the load found below it and above it is at most 4 each

    Examples:
      | key  |
      | 1000 |
      | 1001 |
      | 1500 |
      | 1998 |
      | 1999 |

  Scenario: The other keys of a target whose one busy key fills it move away
    Given a table of 9 members under even load
    And 1 neighbouring keys of one target get 10 requests at once
    When the coordinator balances for 4 s, each move taking 1 s
    Then no target bears more than 12 requests at once
    And fewer than 12 percent of the keys have moved

  Scenario: Even load moves nothing
    Given a table of 9 members under even load
    When the coordinator balances until it rests
    Then no row has changed its owner

  Scenario: A new target gets keys even while nobody is busy
    Given a table of 3 members
    And a fourth member whose target is ready
    When the coordinator balances until it rests
    Then the fourth member owns keys

  Scenario: Whatever happens, every key has one row and tokens only rise
    When random events happen to tables of some members
    Then every key had one row after each and no token fell

  Scenario: A node that applies all changes has the coordinator's board
    When random boards are published as changes, and some pushes are lost
    Then each node that got the last push has the coordinator's board
    And a change of one row among 500 takes fewer than 500 bytes

  Scenario: The board of a mesh of 75 fits through a slow link when all nodes come back
    Given 75 members with names as on a platform, and 2048 rows with handovers
    Then the whole board takes fewer than 70000 bytes on a link

  Scenario: A member that gets the board with its lease is not pushed it as well
    Given a coordinator's publisher and a member that it knows
    When the member renews its lease with an old board and a change is published
    Then the member is pushed the change alone

  Scenario: Of targets that are alike, keys go to the one whose heartbeat comes next
    Given a table of 9 members under even load
    And 200 neighbouring keys of one target get 35 requests at once
    And the heartbeats of the targets come 100 ms after one another
    When the coordinator balances once
    Then the keys that move are without a holder for less than 400 ms

  Scenario: Targets that drain one after the other leave few rows, decided quickly
    Given a table of 12 members under even load
    When 16 members drain in turn and half as many join
    Then the answer to each target's heartbeat takes at most 4096 bytes
    And no decision took longer than 60 ms

  Scenario: A morning rush at many targets is taken apart at all of them together
    Given a table of 46 members under even load
    And 8 targets get 14 requests at once on 40 neighbouring keys each
    When the coordinator balances for 4 s, each move taking 1 s
    Then no target bears more than 12 requests at once
    And no decision took longer than 60 ms
