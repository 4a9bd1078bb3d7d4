Feature: Work between nodes whose connections come late, end twice or are refused
  # Guards against orders that run though their caller was told that they never will.
  Scenario: A request that comes late on a former connection does not run
    Given a node that other nodes dial
    When a node opens two connections and only the second one gets through
    And the node is told that request 7 never came
    And what it sent on the first connection comes after all
    Then request 7 does not run

  # Guards against work that is cut by what comes late on a former connection.
  Scenario: A former connection that comes late ends no work
    Given a node that other nodes dial
    When a node opens two connections and only the second one gets through
    And request 9 is at work
    And what it sent on the first connection comes after all
    Then request 9 is still at work

  # Guards against work that is cut soon after the second of two losses.
  Scenario: Each loss of a connection leaves the whole time to come back
    Given two nodes that are linked through a proxy
    When a request of 4 s is at work
    And the connection is reset, and again 1.8 s later with no way through for 0.6 s
    Then the request is answered

  # Guards against answers that are given up while they come.
  Scenario: A node that has stopped listening is still heard
    Given two nodes that are linked through a proxy
    When the second node has answered, held up for 1.5 s, and listens no longer
    Then the request is answered

  # Guards against orders that wait until their deadline though they never came.
  Scenario: A sender that is told late hears of what never came
    Given two nodes that are linked through a proxy
    When a request is lost, and the word of it comes 1.2 s after the next connection
    Then the request fails as not handled within 3 s

  # Guards against nodes that refuse everything for the sake of one that is gone.
  Scenario: Answers for a node that is gone do not fill the link for good
    Given a node that other nodes dial
    When a node asks for 8000000 bytes and never reads them
    Then nothing waits for it any more after 6 s

  # Guards against a busy target that is taken for one that is down.
  Scenario: A target whose connections are all in use is not silent
    Given a gateway whose target takes 1 connection
    When the target is probed while a request is at it
    Then the target does not count as silent

  # Guards against answers that lie ready while a second target works on.
  Scenario: The first answer counts, whichever target gives it
    Given a mesh of 2 nodes with targets that any caller may use
    When the link to the first target is held up for 1.2 s of the 1.5 s that it works
    Then the caller gets the first target's answer within 3 s

  # Guards against work that one session does while another one answers for it.
  Scenario: A session that has ended is not used by a connection that was open before
    Given a node that other nodes dial
    When a node's session ends while its next connection is open but unused
    And request 9 is at work on that connection, and the node resumes on another one
    Then the node is told that request 9 is known

  # Guards against a full link that carries each answer once for every connection.
  Scenario: Answers that wait for a former connection take no time of the VM's link
    Given a node whose VM has a link of 5.5 Mbit/s
    When a node asks for 10 answers of 90000 bytes and resumes twice meanwhile
    Then it has all answers within 2 s
