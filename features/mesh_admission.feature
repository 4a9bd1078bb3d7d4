Feature: Admission keeps a target within its capacity and serves urgent requests first
  Scenario: A cold target gets no more requests per second than its cold rate
    Given admission to a target of 18 slots that is cold for 3 s at 28 requests per second
    When 100 requests per second of 5 ms are offered for 2500 ms
    Then at most 28 of them were sent in any second
    And at least 56 of them were sent

  Scenario: A target of unknown state is treated as cold
    Given admission to a target of 18 slots that a restarted node knows from its peers
    When 100 requests per second of 5 ms are offered for 1000 ms
    Then at most 28 of them were sent in any second

  Scenario: An overload of 1.7 times a target's capacity is refused early
    Given admission to a target of 10 slots with a service time of 50 ms
    When 340 requests per second of 50 ms are offered for 2000 ms
    Then the slots were in use for at least 90 percent of the time
    And every refusal came within 60 ms with a retry time
    And every served request waited less than 250 ms

  Scenario: Less urgent requests are shed first under overload
    Given admission to a target of 10 slots with a service time of 50 ms
    When 150 urgent and 150 normal requests per second are offered for 2000 ms
    Then at least 95 percent of the urgent requests were served
    And fewer of the normal requests were served
    And three quarters of the refusals came within 150 ms

  Scenario: The least urgent requests are not starved by a sustained overload
    Given admission to a target of 10 slots with a service time of 50 ms
    When 240 urgent and 15 least urgent requests per second are offered for 3000 ms
    Then at least 20 percent of the least urgent requests were served
    And at least 70 percent of the urgent requests were served

  Scenario: A short kind of request is not shed because of long service times of other kinds
    Given admission to a target of 4 slots with a service time of 900 ms
    When requests of 900 ms fill it and a short kind of request has an objective of 800 ms
    Then the short request gets a slot

  Scenario: An urgent request overtakes less urgent requests in the queue
    Given admission to a target of 2 slots with a service time of 50 ms
    When the slots are in use and a normal and then an urgent request wait
    Then the urgent request gets the first free slot

  # Guards against priorities that have no effect because callers share the address of
  # the target's VM
  Scenario: Callers on the target's own VM get slots by the priority of their routes
    Given a node whose target has 1 slot, with routes of priority 1 and 2
    When the slot is in use and 3 requests of priority 2 and then 3 of priority 1 are queued
    Then the target executes the requests of priority 1 first

  Scenario: A cancelled request leaves the queue
    Given admission to a target of 1 slots with a service time of 50 ms
    When a waiting request is cancelled
    Then the queue is empty
    And the next request gets the slot
