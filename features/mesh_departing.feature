Feature: A target that says in its answers that it leaves gets nothing more
  # Guards against a leaving that is read from heartbeats only (issue 22)
  Scenario: A target without keys leaves by its answers, its heartbeats say that it is ready
    Given a mesh of 3 keyed and 3 other targets
    When the other service gets 100 requests a second for 5000 ms and one of its targets leaves by its answers after 1000 ms
    Then it got nothing later than 2000 ms after that
    And every request was served

  # Guards against keys that stay at a target which leaves by its answers
  Scenario: A target that holds the one key that is asked for leaves by its answers
    Given a mesh of 3 keyed targets
    When one key gets 100 requests a second for 6000 ms and its target leaves by its answers after 1000 ms
    Then it got nothing later than 2000 ms after that
    And every request of the last 2000 ms was served

  # Guards against a leaving that is forgotten with the process that has heard of it
  Scenario: The node beside a target that leaves by its answers is killed and starts again
    Given a mesh of 3 keyed and 3 other targets
    When the other service gets 100 requests a second for 7000 ms, one of its targets leaves by its answers after 1000 ms and its node restarts after 3000 ms
    Then it got nothing later than 2000 ms after that

  # Guards against a coordinator that is told by a restarted node that its target is ready
  Scenario: A restarted node that hears a heartbeat before it hears of the mesh
    Given a member whose target leaves
    When its node starts again and reports the same target as ready
    Then the coordinator still takes the target as leaving

  # Guards against a node that forgets a leaving when the one beside the target does
  Scenario: Nodes that passed a target's word on remember it themselves
    Given a node that has passed on an answer of a target that leaves
    When the mesh still says that the target is ready
    Then no request is sent to it, with a key or without
    And its next start gets requests

  # Guards against nodes that all send a limited target more than it takes
  Scenario Outline: Nodes that send requests leave a limited target's limit to each other
    Given <nodes> nodes that choose between two targets, one with a limit of <limit>
    When each of them sends 20 requests a second for 20 s
    Then the limited target was asked for at most <most> requests a second in the last 10 s
    And for at least <least>

    Examples:
      | nodes | limit | most | least |
      | 1     | 10    | 13   | 7     |
      | 6     | 12    | 16   | 8     |
      | 60    | 12    | 24   | 8     |
      | 195   | 40    | 80   | 25    |

  # Guards against a new process that believes a heartbeat of a target which leaves
  Scenario: A new process asks the health page before it believes a heartbeat
    Given a node that has just started and has heard that its target is ready
    Then it refuses requests as not run
    When the health page says 503 and another heartbeat that it is ready
    Then it refuses requests as not run
    When the health page says 200 and another heartbeat that it is ready
    Then it serves requests

  # Guards against a former start's late word that binds the next one under the same id
  Scenario: A target that has started again under its id is not bound by an old goodbye
    Given a node that has just started and has heard that its target is ready
    When the health page says 200 and another heartbeat that it is ready
    And an earlier start under the same id says that it leaves for good
    Then it serves requests
    When this start says that it leaves for good
    Then it refuses requests as not run

  # Guards against requests that wait for a slot of a target which gets nothing more
  Scenario: Requests that wait at a target are refused as soon as it leaves
    Given a node without a network whose target has 1 slot and works for 400 ms
    When 3 requests come and the target leaves after 50 ms
    Then 1 of them is served, and 2 are refused as not run within 150 ms

  # Guards against nodes that all leave a limited target alone at once, so that nobody
  # hears that its limit has ended
  Scenario Outline: Nodes that are told of a limit together do not stay away together
    Given <nodes> nodes that choose between two targets, one with a limit of <limit>
    When each of them sends 20 requests a second for 30 s
    Then it was never left alone for longer than 3000 ms

    Examples:
      | nodes | limit |
      | 6     | 0     |
      | 60    | 1     |
      | 60    | 12    |
