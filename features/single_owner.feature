Feature: A key has at most one owner at any time
  Scenario Outline: Processes are paused past their lease and go on
    Given a mesh of 5 <fencing> targets in 3 zones
    And callers offer reads and orders on 24 keys for 12 s with seed <seed>
    When an owner is paused for 3 s and resumed
    And the coordinator is paused for 3 s and resumed
    And a voter is paused for 2 s and resumed
    Then the history of all calls keeps every promise
    And at least 3 owners changed and 200 requests were done

    Examples:
      | fencing  | seed |
      | fenced   | 11   |
      | unfenced | 12   |

  Scenario Outline: Nodes are cut off from peers and from the platform
    Given a mesh of 5 <fencing> targets in 3 zones
    And callers offer reads and orders on 24 keys for 22 s with seed <seed>
    When an owner's frames to its peers are cut for 4 s
    And an owner's frames from its peers are cut for 4 s
    And the coordinator is cut off from its peers for 2 s
    And the coordinator is cut off from the platform for 4 s
    And the coordinator is cut off from peers and platform for 4 s
    Then the history of all calls keeps every promise
    And at least 3 owners changed and 200 requests were done

    Examples:
      | fencing  | seed |
      | fenced   | 21   |
      | unfenced | 22   |

  Scenario: A zone goes out while the coordinator cannot write moves
    Given a mesh of 5 fenced targets in 3 zones
    And callers offer reads and orders on 24 keys for 9 s with seed 32
    When a zone goes out while the coordinator is cut off from the platform
    Then the history of all calls keeps every promise
    And at least 3 owners changed and 200 requests were done

  Scenario: Processes are killed in the middle of moves
    Given a mesh of 5 fenced targets in 3 zones
    And callers offer reads and orders on 24 keys for 12 s with seed 31
    When a zone goes out and the coordinator is killed in the middle of the moves
    And the zone comes back and an owner is killed in the middle of the moves
    Then the history of all calls keeps every promise
    And at least 3 owners changed and 200 requests were done
