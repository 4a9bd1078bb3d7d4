Feature: Test runs beside each other don't meet on loopback
  # Guards against a mesh that gets the address of another run's node while that is down.
  Scenario: No two processes are handed the same address
    Given 2 processes that are handed 1000 addresses each and stay
    Then no address was handed to two of them
    And each was handed 1000 different ones
