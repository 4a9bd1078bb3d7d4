Feature: A heartbeat of another writer changes nothing of the target that is up
  # Guards against a heartbeat that ends the incarnation that is up: its keys got a second
  # holder, and it served nothing any more
  Scenario Outline: A heartbeat <fault> ends no incarnation
    Given a mesh of 2 keyed targets
    When a node receives a draining heartbeat <fault>
    Then the heartbeat gets the response status <status>
    And the node still has its own target
    When 1000 ms pass in the mesh
    Then no key has moved, and no key has two holders
    And a request for a key of that target is served

    Examples:
      | fault                                             | status |
      | of another instance without lists of keys         | 400    |
      | of another instance without one of the lists      | 400    |
      | of another instance without a version             | 400    |
      | of another instance that is complete              | 503    |
      | of another instance without a start time          | 200    |
      | of its instance without lists of keys             | 400    |
      | of its instance without one of the lists          | 400    |

  Scenario: A target that starts again is accepted with its first heartbeat
    Given a mesh of 2 keyed targets
    When a target crashes and starts again under another instance id
    Then the node has the new incarnation within 1 s
    And every key is held again within 10 s

  Scenario: A target that starts again is not accepted until its health page answers
    Given a mesh of 2 keyed targets
    When a node receives a complete heartbeat of another instance, and no health page answers
    Then the heartbeat gets the response status 503
    And the node still has its own target
