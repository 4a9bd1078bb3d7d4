Feature: Writes to the store take effect exactly once, even if answers are lost
  Background:
    Given a store and a client of it

  Scenario: A write whose answer is lost is confirmed
    Given 1 of every 1 answers to writes is lost
    When the client replaces an object and the store answers again after 700 ms
    Then the client confirms that the write took effect
    And the object was changed exactly once

  Scenario: A write that takes effect late is confirmed
    Given the first write takes effect 400 ms late, without an answer
    When the client replaces an object and the store answers again after 200 ms
    Then the client confirms that the write took effect
    And the object was changed exactly once

  Scenario: A write that loses a race fails with a conflict
    When another writer changes the object first
    Then the client's write fails with a conflict that contains the other value

  Scenario: Only one of several concurrent claims of a term succeeds
    Given 1 of every 3 answers to writes is lost
    When 5 clients create the same object at once
    Then exactly one of them has created it

  Scenario: A former coordinator cannot write a table once its successor has started
    Given a coordinator that has written a table
    When another node claims the leadership and the former coordinator writes the table
    Then the former coordinator's write fails and ends its term
    And the table has the same rows, under the successor's epoch

  Scenario: A leadership whose renewals all take effect late is kept
    Given a coordinator that has written a table
    When its writes take effect 300 ms late, without an answer, for 7 s
    Then it had authority the whole time, in the same epoch

  Scenario: A node that claims the leadership again runs only one renewal loop
    Given a coordinator that has written a table
    When it claims the leadership again while its renewals continue
    Then the leadership was renewed at most 9 times in 3 s
    And a table computed for the former term is not written

  Scenario: A node recorded as lost gets a lease only once the store has recorded its return
    Given a coordinator that has written a table
    When it renews its leadership and records that a node is lost
    Then the node may not get a lease for 1 s
    When the node returns while the store does not answer
    Then the node may not get a lease for 1 s
    When the store answers its client again
    Then the node may get a lease within 2 s

  Scenario: All objects of a kind are listed page by page
    Given 1203 objects of a kind
    When the client lists the kind
    Then the listing has 1203 objects

  Scenario: A watch from a revision that is gone from the history fails
    When the store drops its history after the client has listed the objects
    Then the client's watch fails because the history is gone

  Scenario Outline: A write that the store refuses with <status> has not taken effect
    When the store answers every call with <status>
    Then the client's write fails with code <code>
    And the object was not changed

    Examples:
      | status | code |
      | 503    | 501  |
      | 429    | 504  |

  # Guards against calls that time out one after the other on connections that fell
  # silent while they were idle (issue 43)
  Scenario Outline: Calls succeed again after open connections fell silent <pause_ms> ms before
    Given a store behind a proxy, with 4 open connections
    When the connections fall silent, and <pause_ms> ms pass
    Then of the next calls, one after the other, at most <failures> fail

    Examples:
      | pause_ms | failures |
      | 100      | 1        |
      | 1500     | 0        |
