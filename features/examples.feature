Feature: The examples run as documented
  Scenario: The embedded ownership functions divide keys and reassign them after a loss
    When the example "embedded_ownership.py" runs
    Then it prints
      """
      divided: key 17 of a, token 1
      target lost, its hold may still be valid: key 17 of a, token 1
      marked, as published to members: key 17 of a, token 1, next b
      reassigned, as written to the store: key 17 of b, token 2
      """

  Scenario: The embedded ownership functions need no other part of the program
    Then a process that imports the ownership functions loads no networking modules
