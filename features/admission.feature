Feature: A target is given only what it bears
  Scenario Outline: A target in cold start under full load bears what it is given
    Given a cold target that <says> how it warms
    When 400 requests a second are offered for 6 seconds
    Then the target was never given more than it bears
    And the history keeps every promise
    And the limit has grown to at least <limit>

    Examples:
      | says     | limit |
      | says     | 20    |
      | hides    | 6     |

  Scenario: A target that crashed and is cold again bears what it is given
    Given a warm target of 40 ms work under 300 requests a second
    When the target crashes and is cold again
    Then the target was never given more than it bears since its start
    And the limit has grown to at least 20

  Scenario: A target that turns cold without warning does not fall over
    Given a warm target of 20 ms work under 600 requests a second
    When the target turns cold without warning
    Then the target was given too much for at most 250 ms
    And the target did not crash

  Scenario: Overload is refused at once and the rest is served
    Given a warm target of 100 ms work under 600 requests a second
    When 2 seconds pass
    Then at least 90 percent of its capacity was served
    And refusals came within 300 ms and say when to come back
    And the target was never given more than it bears
    And the history keeps every promise

  Scenario: A caller that floods does not push out the others
    Given a warm target of 100 ms work under 600 requests a second
    When another caller sends 50 requests a second for 2 seconds
    Then at least 95 percent of its requests are done

  Scenario: Shed requests did not run
    Given a target
    When the target sheds its load
    And 20 idempotent requests of 20 callers are sent at once
    Then every code is TARGET_SHED
    And the history keeps every promise

  Scenario: Connections stay within what the target takes
    Given a target that takes 30 connections
    When the target's next 10 answers are "reset_next"
    And 60 idempotent requests of 20 callers are sent at once
    Then the target refused no connection
    And all requests are done

  Scenario: A caller that goes away frees its slot once the target stopped
    Given a target
    When 20 callers go away while their requests run
    And 60 idempotent requests of 20 callers are sent at once
    Then all requests are done
    And the target was told of 20 cancelled requests
    And the target was never given more than it bears
