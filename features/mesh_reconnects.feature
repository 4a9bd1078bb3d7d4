Feature: Connections between nodes that arrive late, break twice or are refused
  # Guards against orders that run after their caller was told that they never will.
  Scenario: A request that arrives late on an earlier connection does not run
    Given a node that other nodes dial
    When a node opens two connections and only the second one gets through
    And the node is told that request 7 was never received
    And the data that it sent on the first connection arrives late
    Then request 7 does not run

  # Guards against requests that are cancelled by late data on an earlier connection.
  Scenario: Late data on an earlier connection cancels no request
    Given a node that other nodes dial
    When a node opens two connections and only the second one gets through
    And request 9 is running
    And the data that it sent on the first connection arrives late
    Then request 9 is still running

  # Guards against requests that are cancelled soon after the second of two disconnects.
  Scenario: Each disconnect leaves the full time to reconnect
    Given two nodes that are linked through a proxy
    When a request of 4 s is running
    And the connection is reset, and again 1.8 s later with the proxy blocked for 0.6 s
    Then the request is answered

  # Guards against answers that are abandoned while they are in transit.
  Scenario: Answers of a node that has stopped listening still arrive
    Given two nodes that are linked through a proxy
    When the second node has answered, delayed by 1.5 s, and listens no longer
    Then the request is answered

  # Guards against orders that wait until their deadline though they never arrived.
  Scenario: A late report that a request was never received still fails the request
    Given two nodes that are linked through a proxy
    When a request is lost, and the report of it comes 1.2 s after the next connection
    Then the request fails as not handled within 3 s

  # Guards against nodes that refuse all requests because of answers to a node that is
  # gone.
  Scenario: Answers to a node that is gone do not saturate the link for good
    Given a node that other nodes dial
    When a node requests 8000000 bytes and never reads them
    Then no answer is queued for that node after 6 s

  # Guards against a busy target that counts as down.
  Scenario: A target whose connections are all in use is not silent
    Given a gateway whose target accepts 1 connection
    When the target is probed while a request uses that connection
    Then the target does not count as silent

  # Guards against answers that are held back while a second target is still working.
  Scenario: The first answer counts, whichever target gives it
    Given a mesh of 2 nodes with targets of a service without keys
    When the link to the first target is blocked for 1.2 s of the 1.5 s that it works
    Then the caller gets the first target's answer within 3 s

  # Guards against requests that run in one session while another session answers for
  # them.
  Scenario: A session that has ended is not used by a connection opened before
    Given a node that other nodes dial
    When a node's session ends while its next connection is open but unused
    And request 9 is running on that connection, and the node resumes on another one
    Then the node is told that request 9 is known

  # Guards against a saturated link that carries each answer once for every connection.
  Scenario: Answers queued for an earlier connection use no bandwidth of the VM
    Given a node whose VM has a link of 5.5 Mbit/s
    When a node requests 10 answers of 90000 bytes and resumes twice meanwhile
    Then it has all answers within 2 s
