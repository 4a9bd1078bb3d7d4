Feature: A request that crashes targets is stopped and the others go on
  Background:
    Given a target

  Scenario: A crashing request sent again and again crashes a target twice at most
    When a crashing request is sent until it is settled beside 15 innocent ones
    Then the target crashed 2 times
    And the crashing request is quarantined
    And all innocent requests are done
    And the history keeps every promise

  Scenario: A crashing order crashes a target twice at most under new ids
    When a crashing order is sent 4 times under new ids
    Then the target crashed 2 times
    And the history keeps every promise

  Scenario: All peers are told
    Given 3 peers
    When a crashing request is sent until it is settled beside 0 innocent ones
    Then each peer was told of the suspect and of the quarantine

  Scenario: A broken connection makes nobody a suspect
    When the target's next 3 answers are "reset_next"
    And 60 idempotent requests of 20 callers are sent at once
    Then all requests are done
    And nobody is suspected

  Scenario: Innocents are free after they ran alone
    When a crashing request is sent until it is settled beside 15 innocent ones
    Then nobody is suspected

  Scenario: A second crash before the target announced itself again counts too
    When the target is silent about itself
    And a crashing order is sent 4 times under new ids
    Then the target crashed 2 times

  Scenario: An announcement from before a crash does not hide it
    When a late announcement of the target arrives right after each broken exchange
    And a crashing order is sent 4 times under new ids
    Then the target crashed 2 times
