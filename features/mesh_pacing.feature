Feature: Messages on all connections of a VM share its network link
  # Guards against short answers that wait behind long ones on other connections.
  Scenario: Short answers overtake long ones
    Given a paced network link of 5 Mbit/s
    When 6 answers of 60 KB arrive at once and one of 1 KB every 10 ms for 600 ms
    Then every short answer is sent within 60 ms
    And all long answers are sent within 800 ms

  # Guards against long answers that are delayed though the link has capacity.
  Scenario: The first long answer is sent at once, then always the shortest in the queue
    Given a paced network link of 5 Mbit/s
    When answers of 40, 60, 20 and 30 KB arrive at once
    Then they are sent in the order 40, 20, 30, 60
    And all long answers are sent within 320 ms

  # Guards against a long answer that shorter ones delay without end.
  Scenario: A long answer is not starved by shorter ones
    Given a paced network link of 5 Mbit/s
    When an answer of 120 KB arrives while one of 40 KB arrives every 50 ms for 2100 ms
    Then the answer of 120 KB is sent within 900 ms

  # Guards against a turn that is lost with the connection that waits for it.
  Scenario: A cancelled answer leaves its turn to the next one
    Given a paced network link of 5 Mbit/s
    When answers of 40, 20 and 30 KB arrive at once and that of 20 KB is cancelled
    Then they are sent in the order 40, 30

  # Guards against pauses on links whose bandwidth is not configured.
  Scenario: Nothing waits on a link of unknown bandwidth
    Given a paced network link of 0 Mbit/s
    When answers of 40, 60, 20 and 30 KB arrive at once
    Then they are sent in the order 40, 60, 20, 30
    And all long answers are sent within 50 ms
