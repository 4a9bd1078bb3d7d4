Feature: A zone that is out and a target that leaves get no new work
  Background:
    Given a target

  Scenario: New work is refused within 3 seconds after the zone is out
    When the configuration takes its zone out
    And 100 requests a second are offered for 4 seconds
    Then nothing started later than 3000 ms after the change
    And the last requests were refused with ZONE_OUT
    When the configuration brings its zone back in
    And an order is sent
    Then its code is DONE

  Scenario: New work is refused within 3 seconds after the target leaves
    When the target leaves
    And 100 requests a second are offered for 4 seconds
    Then nothing started later than 3000 ms after the change
    And the last requests were refused with LEAVING

  Scenario: Draining cuts nothing in flight
    When the node drains while 20 requests run
    Then all requests are done
    And an order is refused with LEAVING

  Scenario: A release waits for what is in flight
    When ranges are released while an order runs on them
    Then the records handed over hold the order's answer
    And a release that can't wait fails with MOVING

  Scenario: A target that is killed counts as gone within 2 seconds, without traffic
    When the target is killed
    Then within 2000 ms the member's state is "joining"
    When the target is started again
    Then within 5000 ms the member's state is "serving"
    When an order is sent
    Then its code is DONE

  Scenario: A target that is paused counts as gone after 3 seconds and comes back
    When the target is paused
    Then within 3500 ms the member's state is "joining"
    When the target goes on
    Then within 2000 ms the member's state is "serving"
    When an order is sent
    Then its code is DONE
