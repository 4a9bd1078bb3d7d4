Feature: What a target is at work on outlives the connection that it came over
  # Guards against work that is cut, and callers that get 504, when a VM's link is full.
  Scenario Outline: A link that is <link> cuts no <kind> that a target is at work on
    Given a mesh of 2 nodes behind proxies whose targets work for 2000 ms
    When a <kind> is at work at a target beside another node
    And the link to that node is <link>
    Then its caller gets the target's own answer
    And it ran once and nothing was cut

    Examples:
      | link                | kind  |
      | held up for 1500 ms | order |
      | held up for 1500 ms | read  |
      | silent for good     | order |
      | silent for good     | read  |
      | reset               | order |

  # Guards against the same at a node that was told to stop.
  Scenario: A link that is held up cuts nothing that entered at a node which stops
    Given a mesh of 2 nodes behind proxies whose targets work for 2000 ms
    When a read is at work at a target beside another node
    And the node where it entered is told to stop
    And the link to that node is held up for 1500 ms
    Then its caller gets the target's own answer
    And it ran once and nothing was cut
