Feature: What a node holds for its callers is counted and bounded
  Scenario: Seeded sequences of connections, growth and ends keep the count exact
    When 300 seeded sequences of 200 events are played
    Then the count always was the sum of what connections hold, and 0 at the end
    And it was above the limit only for a single large request

  Scenario: The connection that has stood still for the longest is closed first
    Given a budget of 1000 KB with three connections of 250 KB that moved 900, 600 and 300 ms ago
    When a fourth connection needs 300 KB
    Then only the connection that moved 900 ms ago is closed

  Scenario: Connections whose requests are served are not closed
    Given a budget of 1000 KB with three connections of 250 KB that moved 900, 600 and 300 ms ago
    When all three are being served and a fourth connection needs 300 KB
    Then no connection is closed and the fourth has no room

  Scenario: A single large request is let through, and a small one beside it
    Given a budget of 1000 KB without a connection
    When one connection needs 3000 KB and another 20 KB
    Then both have room and none is closed, as small ones have a reserve

  Scenario: Idle connections make room for new ones
    Given a budget of 10 connections, all idle for 500 ms
    When 3 more connect
    Then 3 idle ones are closed and 10 are open

  Scenario: Without limits nothing is refused
    Given a budget without limits
    When 50 connections need 5000 KB each
    Then none is closed or refused
