Feature: A target that announces in its answers that it leaves gets no more requests
  # Guards against nodes that learn only from heartbeats that a target leaves (issue 22)
  Scenario: A target without keys announces in its answers that it leaves, while its heartbeats say that it is ready
    Given a mesh of 3 keyed and 3 unkeyed targets
    When the unkeyed service gets 100 requests per second for 5000 ms and one of its targets announces in its answers that it leaves after 1000 ms
    Then it got no requests later than 2000 ms after that
    And every request was served

  # Guards against keys that stay at a target that leaves
  Scenario: A target that holds the only requested key announces in its answers that it leaves
    Given a mesh of 3 keyed targets
    When one key gets 100 requests per second for 6000 ms and its target announces in its answers that it leaves after 1000 ms
    Then it got no requests later than 2000 ms after that
    And every request of the last 2000 ms was served

  # Guards against losing the announcement with the node process that received it
  Scenario: The node of a target that announced in its answers that it leaves is killed and restarts
    Given a mesh of 3 keyed and 3 unkeyed targets
    When the unkeyed service gets 100 requests per second for 7000 ms, one of its targets announces in its answers that it leaves after 1000 ms and its node restarts after 3000 ms
    Then it got no requests later than 2000 ms after that

  # Guards against a coordinator that trusts the report of a restarted node that its
  # target is ready
  Scenario: A restarted node that gets a heartbeat before it gets the state of the mesh
    Given a member whose target is leaving
    When its node restarts and reports the same target as ready
    Then the coordinator still considers the target as leaving

  # Guards against a node that forgets the announcement when the target's node forgets it
  Scenario: Nodes that forwarded the answer of a leaving target remember that it leaves
    Given a node that has forwarded an answer of a leaving target
    When the mesh still reports the target as ready
    Then no request is sent to it, with or without a key
    And its next incarnation gets requests

  # Guards against nodes that together send a limited target more than its limit
  Scenario Outline: Nodes that send requests share the limit of a limited target
    Given <nodes> nodes that choose between two targets, one with a limit of <limit> per second
    When each of them sends 20 requests per second for 20 s
    Then the limited target was sent at most <max> requests per second in the last 10 s
    And it was sent at least <min> requests per second

    Examples:
      | nodes | limit | max | min |
      | 1     | 10    | 13  | 7   |
      | 6     | 12    | 16  | 8   |
      | 60    | 12    | 24  | 8   |
      | 195   | 40    | 80  | 25  |

  # Guards against a restarted node that trusts the heartbeat of a leaving target
  Scenario: A restarted node checks the health page before it trusts a heartbeat
    Given a node that has just started and got a heartbeat that its target is ready
    Then it refuses requests as not run
    When the health page answers 503 and another heartbeat says that the target is ready
    Then it refuses requests as not run
    When the health page answers 200 and another heartbeat says that the target is ready
    Then it serves requests

  # Guards against a late leave message that is applied to the next incarnation with the
  # same id
  Scenario: A leave message of an earlier incarnation does not affect a restarted target
    Given a node that has just started and got a heartbeat that its target is ready
    When the health page answers 200 and another heartbeat says that the target is ready
    And an earlier incarnation with the same id announces that it leaves for good
    Then it serves requests
    When the current incarnation announces that it leaves for good
    Then it refuses requests as not run

  # Guards against requests that stay queued for a target that gets no more requests
  Scenario: Requests that are queued for a target are refused as soon as it leaves
    Given a node without a network whose target has 1 slot and a service time of 400 ms
    When 3 requests arrive and the target leaves after 50 ms
    Then 1 of them is served, and 2 are refused as not run within 150 ms

  # Guards against nodes that all avoid a limited target at once, so that no node learns
  # that its limit has ended
  Scenario Outline: Nodes that learn of a limit at the same time do not all avoid its target at once
    Given <nodes> nodes that choose between two targets, one with a limit of <limit> per second
    When each of them sends 20 requests per second for 30 s
    Then no gap between its requests was longer than 3000 ms

    Examples:
      | nodes | limit |
      | 6     | 0     |
      | 60    | 1     |
      | 60    | 12    |
