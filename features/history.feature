Feature: Checks of histories
  The checks of the guarantees find each kind of violation, and no false ones.

  Scenario: A history without violations passes all checks
    Given these executions
      | target | tag | order | key | token | start | end |
      | t1     | a   |       | k1  | 1     | 0     | 10  |
      | t1     | b   | o1    | k1  | 1     | 5     | 12  |
      | t2     | c   |       | k1  | 2     | 12    | 20  |
      | t1     | d   |       | k2  | 9     | 15    | 16  |
    And these calls
      | tag | order | key | outcome      | answered | own |
      | a   |       | k1  | done         | yes      | yes |
      | b   | o1    | k1  | done         | yes      | yes |
      | c   |       | k1  | may-have-run | no       | yes |
      | e   |       | k1  | not-run      | yes      | yes |
    When the history is checked
    Then no violation is found

  Scenario Outline: An execution with a lower token than an earlier one is found
    Given these executions
      | target   | tag | order | key | token   | start | end |
      | t1       | a   |       | k1  | 5       | 0     | 1   |
      | <target> | b   |       | k1  | <token> | 2     | 3   |
    When the history is checked
    Then <count> violations of "one owner" are found

    Examples:
      | target | token | count |
      | t1     | 4     | 1     |
      | t2     | 4     | 1     |
      | t2     | 5     | 0     |
      | t2     | 6     | 0     |

  Scenario Outline: Executions at two targets at the same time are found
    Given these executions
      | target | tag | order | key   | token | start   | end   |
      | t1     | a   |       | k1    | 1     | 0       | <end> |
      | t1     | b   |       | k1    | 1     | 1       | 2     |
      | t2     | c   |       | <key> | 2     | <start> | 30    |
    When the history is checked
    Then <count> violations of "one owner" are found

    Examples:
      | key | end | start | count |
      | k1  | 10  | 9     | 1     |
      | k1  | 10  | 10    | 0     |
      | k1  | 0   | 20    | 1     |
      | k2  | 10  | 9     | 0     |

  Scenario: A request that ran although it was answered as not run is found
    Given these executions
      | target | tag | order | key | token | start | end |
      | t1     | a   |       | k1  | 1     | 0     | 1   |
    And these calls
      | tag | order | key | outcome | answered | own |
      | a   |       | k1  | not-run | yes      | yes |
      | b   |       | k1  | not-run | yes      | yes |
    When the history is checked
    Then 1 violations of "not run is true" are found

  Scenario: An order must not have run if all its responses say not run
    Given these executions
      | target | tag | order | key | token | start | end |
      | t1     |     | o1    | k1  | 1     | 0     | 1   |
      | t1     |     | o2    | k1  | 1     | 0     | 1   |
    And these calls
      | tag | order | key | outcome      | answered | own |
      | a   | o1    | k1  | not-run      | yes      | yes |
      | b   | o2    | k1  | not-run      | yes      | yes |
      | c   | o2    | k1  | may-have-run | yes      | yes |
    When the history is checked
    Then 1 violations of "not run is true" are found

  Scenario: An order that ran on two targets is found
    Given these executions
      | target | tag | order | key | token | start | end |
      | t1     | a   | o1    | k1  | 1     | 0     | 1   |
      | t2     | b   | o1    | k1  | 2     | 5     | 6   |
      | t2     | c   | o2    | k1  | 2     | 7     | 8   |
    When the history is checked
    Then 1 violations of "orders run once" are found

  Scenario: A response that belongs to another request is found
    Given these calls
      | tag | order | key | outcome | answered | own |
      | a   |       | k1  | done    | yes      | no  |
      | b   |       | k1  | done    | yes      | yes |
    When the history is checked
    Then 1 violations of "own whole answer" are found

  Scenario: An order answered as done that no target ran is found
    Given these calls
      | tag | order | key | outcome | answered | own |
      | a   | o1    | k1  | done    | yes      | yes |
    When the history is checked
    Then 1 violations of "done has run" are found

  Scenario: An execution that starts at a target that must be silent is found
    Given these executions
      | target | tag | order | key | token | start | end |
      | t1     | a   |       | k1  | 1     | 2     | 9   |
      | t1     | b   |       | k1  | 1     | 4     | 9   |
      | t2     | c   |       | k2  | 1     | 5     | 9   |
    When target "t1" must be silent from 3 to 10 ms
    Then 1 violations of "no new work" are found

  Scenario: A gap lasts from the first failed request to the next success
    Given calls for one key
      | intended | end  | outcome |
      | 0        | 2    | done    |
      | 100      | 101  | not-run |
      | 200      | 201  | not-run |
      | 300      | 350  | done    |
      | 400      | 900  | done    |
      | 1000     | 1002 | done    |
    Then the longest gap is 500 ms and the total 750 ms

  Scenario: A gap that never closes ends at the last response
    Given calls for one key
      | intended | end  | outcome |
      | 0        | 2    | done    |
      | 100      | 1100 | not-run |
    Then the longest gap is 1000 ms and the total 1000 ms

  Scenario: Fast responses add no gap to the total
    Given calls for one key
      | intended | end | outcome |
      | 0        | 2   | done    |
      | 100      | 103 | done    |
    Then the longest gap is 3 ms and the total 0 ms

  Scenario: Churn is the share of the key space with another owner
    Given a table that gives quarters to "a b c d"
    When the table gives quarters to "a b d d"
    Then the churn is 0.25

  Scenario: Imbalance is the ratio of the greatest load to the mean
    Given these executions
      | target | tag | order | key | token | start | end |
      | t1     | a   |       | k1  | 1     | 0     | 1   |
      | t1     | b   |       | k1  | 1     | 2     | 3   |
      | t1     | c   |       | k1  | 1     | 4     | 5   |
      | t2     | d   |       | k2  | 1     | 5     | 6   |
    Then the imbalance over "t1 t2" is 1.5

  Scenario: More requests in flight than the capacity of a target are found
    Given a target with 9 requests in flight and a capacity of 4
    When the overload is checked
    Then 1 violations of "only what it bears" are found
