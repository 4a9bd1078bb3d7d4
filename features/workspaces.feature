Feature: Requests belong to workspaces, which have credentials, priorities and quotas
  Scenario: A request with a known credential runs for its workspace, without the credential
    Given a mesh of 2 keyed and 1 unkeyed targets with workspaces
    When requests with the credential of blue are sent to every node
    Then each is served, and its target sees the workspace blue and no credential

  Scenario: A workspace that the caller names itself is not believed
    Given a mesh of 2 keyed and 1 unkeyed targets with workspaces
    When requests with the credential of blue name the workspace green
    Then each is served, and its target sees the workspace blue and no credential

  Scenario Outline: A request without one known credential is refused with 401
    Given a mesh of 1 keyed and 1 unkeyed targets with workspaces
    When a request bears <credentials>
    Then it gets 401 and reaches no target

    Examples:
      | credentials                    |
      | no credential                  |
      | an empty credential            |
      | an unknown credential          |
      | the same credential twice      |
      | a credential and an unknown one|
      | two credentials in one header  |
      | a credential of 8000 characters|
      | a credential in upper case     |

  Scenario: A public route needs no credential, and never passes one on
    Given a mesh of 1 keyed and 1 unkeyed targets with workspaces
    When a public route gets requests with no credential, an unknown one and that of blue
    Then all are served, and only the last has a workspace

  Scenario: Credentials are added and removed by new versions
    Given a mesh of 2 keyed and 1 unkeyed targets with workspaces
    When a version gives blue another credential in place of its own
    Then within 2.5 s every node refuses the old credential and accepts the new one

  Scenario: Without workspaces in the configuration headers pass as they are
    Given a mesh of 1 keyed and 1 unkeyed targets
    When a request has a credential and names a workspace, which means nothing
    Then it is served, and its target sees both headers

  Scenario: A quota is kept over all nodes, and refusals say when to come back
    Given a mesh of 2 keyed and 1 unkeyed targets with workspaces
    When 40 requests of small are sent to every node in turn, 5 s after their start
    Then between 10 and 40 are served, and the others get 429 with Retry-After
    And requests of blue are still served by every node

  Scenario: A workspace whose accountant has ended is served by the next one
    Given a mesh of 3 keyed and 1 unkeyed targets with workspaces
    When the node that accounts for small is killed
    Then a request of small is served by another node within 1 s

  # Guards against credentials in logs, pages and errors
  Scenario: No output of a node contains a credential
    Given a mesh of node processes with workspaces
    When requests with known and unknown credentials are sent, and an odd configuration
    Then no log and no operators' page contains a credential

  Scenario: The priority of a workspace goes before that of a route
    Given workspaces of priority 1 and 2, and routes of priority 0 and 5
    Then their requests are ranked by workspace first and by route within it

  Scenario Outline: An odd workspace is refused with a clear error
    When a workspace is added that has <odd>
    Then it is refused with an error that says "<text>" and contains no credential

    Examples:
      | odd                            | text                                   |
      | a negative rate                | workspace 'odd': ratePerS              |
      | a rate without end             | workspace 'odd': ratePerS              |
      | a rate that is a text          | workspace 'odd': ratePerS              |
      | a negative burst               | workspace 'odd': burst                 |
      | credentials that are no list   | workspace 'odd': apiKeys               |
      | an empty one                   | workspace 'odd': found a credential    |
      | one that is a number           | workspace 'odd': found a credential    |
      | one of another workspace       | 'blue' and 'odd' share a credential    |

  Scenario: A workspace without credentials or quota is allowed
    When a workspace is added that has no credentials
    Then it is accepted, and the workspace has no quota

  Scenario: Routes are found as by a search through all of them
    When random routes and paths are looked up
    Then each path gets the first route with the longest prefix

  Scenario: The look-up of a route does not grow with the number of routes
    When routes are looked up among 10 and among 10000
    Then the larger look-up makes at most twice as many comparisons
