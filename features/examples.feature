Feature: Examples work as they are
  Scenario: The embedded parts divide keys and follow a loss
    When the example "embedded_ownership.py" runs
    Then it prints
      """
      divided: key 17 of a, token 1
      lost, its hold may run on: key 17 of a, token 1
      marked, as members hear: key 17 of a, token 1, next b
      given away, as the store holds it: key 17 of b, token 2
      """

  Scenario: The embedded parts stand by themselves
    Then a process that imports the decisions on ownership loads no sockets of the program
