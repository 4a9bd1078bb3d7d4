Feature: A target of the mesh gets what it bears, the most urgent first
  Scenario: A cold target gets no more requests a second than it bears
    Given admission to a target of 18 slots that is cold for 3 s at 28 a second
    When 100 requests a second of 5 ms are offered for 2500 ms
    Then no second saw more than 28 of them sent
    And at least 56 were sent

  Scenario: A target that nobody knows anything of is taken as cold
    Given admission to a target of 18 slots that a restarted node has adopted
    When 100 requests a second of 5 ms are offered for 1000 ms
    Then no second saw more than 28 of them sent

  Scenario: A rush of 1.7 times what a target bears is refused at once, not late
    Given admission to a target of 10 slots whose work takes 50 ms
    When 340 requests a second of 50 ms are offered for 2000 ms
    Then at least 90 percent of the slots' time was used
    And every refusal came within 60 ms and says when to come back
    And every request that was served waited less than 250 ms

  Scenario: The less urgent are refused first in a rush
    Given admission to a target of 10 slots whose work takes 50 ms
    When 150 urgent and 150 other requests a second are offered for 2000 ms
    Then at least 95 percent of the urgent were served
    And fewer of the others were served
    And the refused were told within 150 ms

  Scenario: The least urgent are not shut out in a rush that lasts
    Given admission to a target of 10 slots whose work takes 50 ms
    When 240 urgent and 15 of the least urgent requests a second come for 3000 ms
    Then at least 20 percent of the least urgent were served
    And at least 70 percent of the urgent were served

  Scenario: A short kind of request is not judged by the long ones beside it
    Given admission to a target of 4 slots whose work takes 900 ms
    When requests of 900 ms fill it and one of a short kind hopes for 800 ms
    Then the short one gets a slot

  Scenario: An urgent request passes those that wait longer
    Given admission to a target of 2 slots whose work takes 50 ms
    When the slots are taken and one of the others and then an urgent request wait
    Then the urgent request gets the first slot

  # Guards against ranks without effect, as callers and targets share their VM's address
  Scenario: Callers on the target's own VM get slots by the rank of their routes
    Given a node whose target has 1 slot, with routes of priority 1 and 2
    When the slot is in use and 3 requests of priority 2 and then 3 of priority 1 are queued
    Then the target executes the requests of priority 1 first

  Scenario: A request that nobody waits for any more leaves the queue
    Given admission to a target of 1 slots whose work takes 50 ms
    When a waiting request is cancelled
    Then nobody waits
    And the slot goes to the next that asks
