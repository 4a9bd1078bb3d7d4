Feature: Requests reach the target that holds their key, through any node
  Scenario: A mesh that has just started serves every key once
    Given a mesh of 3 keyed targets
    When requests for 32 keys are sent to every node
    Then every request is done by the target that holds its key
    And no key was held by two targets

  Scenario: Calls to a service without keys reach any of its targets
    Given a mesh of 2 keyed and 2 other targets
    When 20 requests for the other service are sent to every node
    Then every request is done

  Scenario: A restarted node leaves the holds of its target running
    Given a mesh of 3 keyed targets
    When a node that does not coordinate is killed and starts again after 500 ms
    Then its target holds the same keys under the same tokens
    And a request for one of its keys is done within 1500 ms of the start

  Scenario: A restarted node serves before the next heartbeat of its target
    Given a mesh of 3 keyed targets
    When the heartbeats of a target stop, and its node is killed and starts again
    Then a request for one of its keys is done within 1200 ms of the start

  Scenario: Losing the coordinator takes no key away
    Given a mesh of 3 keyed targets
    When the node that coordinates is killed
    Then another node coordinates within 8 s
    And no key changed hands among the targets that live
    And no key was held by two targets

  Scenario: A node that knows nobody yet leaves a right that is given up to others
    Given a mesh of 5 keyed targets
    When the coordinator gives its right up as another node starts again
    Then no other node loses a member of its board for 4 s
    And every node still serves every key

  Scenario: A coordinator that is lost while the store is away is succeeded at its return
    Given a mesh of 3 keyed targets
    When the store is silent, the node that coordinates is killed, and 6 s pass
    And the store answers again
    Then another node coordinates within 2 s
    And no key was held by two targets

  Scenario: A coordinator whose right lapsed does not claim it beside its own renewals
    Given a mesh of 3 keyed targets
    When the store is silent for the coordinator until its right has lapsed
    Then it may not claim the right while it still renews it

  Scenario: An outage of the store takes no key away
    Given a mesh of 3 keyed targets
    When the store is silent for 6 s
    Then every key is held all the while
    And every node still serves every key
    And no key was held by two targets

  Scenario: The keys of a VM that is gone without a word move once its lease has run out
    Given a mesh of 3 keyed targets
    When a VM that does not coordinate is lost without a word
    Then all of its keys are held by others within 5 s
    And no key was held by two targets

  Scenario: The keys of a VM that was lost before its coordinator move under the next one
    Given a mesh of 4 keyed targets
    When a VM that does not coordinate is lost without a word
    And 2 s later the VM of the coordinator is lost without a word
    Then all keys of the first one are held by others within 4 s
    And no key was held by two targets

  Scenario: A coordinator that only the store turns away follows its successor
    Given a mesh of 3 keyed targets
    When the store is silent for the coordinator until its right has lapsed
    Then another node coordinates within 4 s
    And the former coordinator gets its leases from it
    And no key was held by two targets

  Scenario: The keys of a target that crashed move at once
    Given a mesh of 3 keyed targets
    When a target crashes
    Then all of its keys are held by others within 2 s
    And no key was held by two targets

  Scenario: Targets that start again hold their keys by the answer to a first heartbeat
    Given a mesh of 3 keyed targets
    When all targets crash and start again, with heartbeats 3 s apart
    Then every key is held again within 2 s
    And no key was held by two targets

  Scenario: The keys of a target that drains move with their handover
    Given a mesh of 3 keyed targets
    When a target begins to drain
    Then all of its keys are held by others within 3 s
    And the others were told the handover
    And no key was held by two targets

  Scenario: A node that stops answers all that it has taken
    Given a mesh of 3 keyed targets whose work takes 400 ms
    When a node stops while requests are sent to it all the time
    Then each request that was sent to it was answered or never read
    And no order that entered the mesh ran twice

  Scenario: A caller that leaves ends the work on its request
    Given a mesh of 3 keyed targets whose work takes 2000 ms
    When a caller leaves 100 ms after it has sent a read
    Then its run is cut within 500 ms

  Scenario: A request that never had a route is refused and nothing else
    Given a mesh of 3 keyed targets
    When a request comes for a path without a route
    Then the answer is 404

  Scenario: A zone that is taken out gets nothing after its keys have moved
    Given a mesh of 3 keyed targets
    When the zone of a target is taken out
    Then all of its keys are held by others within 4 s
    And a request for any key is done by another target

  Scenario: A node that the store turns away follows the configuration and zones
    Given a mesh of 3 keyed targets
    When the store refuses one node and operators write version 4
    Then that node has version 4 within 2 s
    When the zone of a target is taken out
    Then that node knows the zone within 2 s

  Scenario: Few nodes watch the store, and all have a new configuration soon
    Given a mesh of 12 keyed targets
    When the configuration changes 5 times in 1 s
    Then every node has the newest one within 1000 ms
    And at most 7 nodes have asked the store since the first change

  Scenario: A large configuration is read from the store, not sent by the coordinator
    Given a mesh of 9 keyed targets
    When the configuration grows by 500 routes
    Then every node has the newest one within 2000 ms
    And the coordinator has sent fewer than 100000 bytes since

  Scenario: A coordinator whose watch hears nothing learns of changes from members
    Given a mesh of 6 keyed targets
    When the coordinator's watches hear nothing and the configuration changes
    Then every node has the newest one within 2000 ms

  Scenario: A node that starts while the store is away serves again
    Given a mesh of 3 keyed targets
    When the store is silent for 1 s
    And a node that does not coordinate is killed and starts again after 300 ms
    Then a request for one of its keys is done within 3000 ms of the start
    And no key was held by two targets

  Scenario: A node that ended before an outage of the store and starts in it serves again
    Given a mesh of 3 keyed targets
    When a node ends, the store falls silent after 400 ms, and the node starts 2 s later
    Then a request for one of its keys is done within 3000 ms of the start
    And no key was held by two targets

  Scenario: Writes that take effect late end neither a term nor the moves
    Given a mesh of 3 keyed targets
    When writes of the node that coordinates take effect 300 ms late for 3 s
    And a target begins to drain
    Then all of its keys are held by others within 8 s
    And the same node coordinates in the same epoch
    And no key was held by two targets

  Scenario: A restarted node does not use a target that left before
    Given a mesh of 3 keyed targets
    When a target says only to its node that it leaves, and the node is killed at once
    And the node starts again and requests come for its keys for 1500 ms
    Then the target ran none of them

  Scenario: A request that crashes its targets stops at the third crash, at all nodes
    Given a mesh of 3 keyed targets
    When a request that crashes its target is sent to each node in turn for 6 s
    Then the targets crashed 3 times
    And it was refused as not run since, and requests for its key are done

  Scenario: A target without keys that drains gets nothing new
    Given a mesh of 2 keyed and 2 other targets
    When one of the other targets begins to drain under requests
    Then it ran nothing later than 700 ms after it was told that this is known
    And every request for the other service was done

  Scenario: A mesh that was lost as a whole serves every key again
    Given a mesh of 3 keyed targets
    When all nodes and targets end at once and start again 700 ms later
    Then every key is held again within 13 s
    And no key was held by two targets
    And every node still serves every key

  Scenario: One request reaches no more targets than its route allows
    Given a mesh of 2 keyed and 4 other targets
    When every answer of the other targets is lost and 10 requests come
    Then no request ran more than 2 times
    And at least one ran 2 times, and none was said to be not run
