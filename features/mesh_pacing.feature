Feature: Messages on all connections of a VM share its link
  # Guards against short answers that wait behind long ones on other connections
  Scenario: Short answers pass long ones
    Given a link of 5 Mbit/s that is paced
    When 6 answers of 60 KB come at once and one of 1 KB each 10 ms for 600 ms
    Then every short answer has left within 60 ms
    And all long answers have left within 800 ms

  # Guards against long answers that are put off though the link has room
  Scenario: The first long answer goes at once, and the shortest of those that wait next
    Given a link of 5 Mbit/s that is paced
    When answers of 40, 60, 20 and 30 KB come at once
    Then they leave in the order 40, 20, 30, 60
    And all long answers have left within 320 ms

  # Guards against a long answer that waits without end for those that are shorter
  Scenario: A long answer is not put off for good
    Given a link of 5 Mbit/s that is paced
    When an answer of 120 KB comes beside one of 40 KB each 50 ms for 2100 ms
    Then the answer of 120 KB has left within 900 ms

  # Guards against a turn that is lost with the connection that waits for it
  Scenario: An answer that nobody waits for any more leaves the turn to the next
    Given a link of 5 Mbit/s that is paced
    When answers of 40, 20 and 30 KB come at once and that of 20 KB is given up
    Then they leave in the order 40, 30

  # Guards against pauses on links whose bandwidth nobody has told
  Scenario: Nothing waits on a link of unknown bandwidth
    Given a link of 0 Mbit/s that is paced
    When answers of 40, 60, 20 and 30 KB come at once
    Then they leave in the order 40, 60, 20, 30
    And all long answers have left within 50 ms
