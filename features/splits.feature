Feature: A hot key has a range of its own for as long as it is hot
  Scenario: A key is split off at an overloaded owner only, and merged once it is cool
    Given a table of 3 owners
    When a key is half the load of an owner with 20, 18 and 22 requests/s
    Then the table has 256 ranges
    When a key is half the load of an owner with 400, 100 and 100 requests/s
    Then the table has 258 ranges
    And no range is moved for balance
    When the key has not been hot for 31 s
    Then the table has 256 ranges

  Scenario: Ranges that were moved for load are not moved back for their count
    Given a table of 3 owners
    When ranges leave an owner with 400, 100 and 100 requests/s
    Then no range is moved for balance

  Scenario: Splits, moves and merges keep what each hash needs
    Then any sequence of them keeps owners, tokens and the floors of order ids
    And ends with as many ranges as before once all keys are cool
