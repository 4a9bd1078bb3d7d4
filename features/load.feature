Feature: Load program
  Load is offered open-loop and counted from the intended send time.

  Scenario: Arrivals and keys repeat with their seed
    Then arrivals at 500 a second for 2 s are the same for seed 3 and differ for seed 4
    And keys drawn with seed 3 are the same again and "1" is the most frequent

  Scenario Outline: Keys follow the Zipf distribution
    Then 20000 keys of 50 with exponent <exponent> come as often as the formula says

    Examples:
      | exponent |
      | 0.0      |
      | 0.8      |
      | 1.0      |
      | 1.5      |

  Scenario: Billions of keys cost no memory
    Then a key of 2100000000 with exponent 1.0 is drawn at once

  Scenario: A stall of the server is not hidden
    Given a plain server that stalls once for 400 ms
    When load is offered at 100 a second for 2 s
    Then all requests are done and at least 10 took over 200 ms

  Scenario: The report stands as text and as JSON
    Given a plain server that stalls once for 0 ms
    When load is offered at 100 a second for 1 s
    Then the text and the JSON of the report give the same count of requests done

  Scenario: An address where nobody listens counts as not run
    Given an address where nobody listens
    When load is offered at 50 a second for 1 s
    Then every request counts as not run

  Scenario: Requests beyond the limit in flight are counted as unsent
    Given a plain server that stalls once for 600 ms
    When load is offered at 100 a second for 1 s with 5 in flight
    Then requests are unsent and every request is accounted for

  Scenario: A connection that ends without an answer counts as may have run
    Given a server that reads a request and closes the connection
    When load is offered at 50 a second for 1 s
    Then every request counts as may have run

  Scenario: The key goes where nodes look for it
    Given a server that reads a request and closes the connection
    When the load command offers 20 a second for 1 s with
      | option       | value            |
      | --path       | /x/{key}?k={key} |
    Then each request carries its key in its header, path and query

  Scenario Outline: A status of <status> with code <code> counts as <outcome>
    Given a server that answers with status <status> and code <code>
    When load is offered at 50 a second for 1 s
    Then every request counts as <outcome>

    Examples:
      | status | code | outcome      |
      | 204    | none | done         |
      | 421    | none | not run      |
      | 429    | none | not run      |
      | 503    | none | not run      |
      | 404    | none | may have run |
      | 404    | 109  | not run      |
      | 503    | 208  | may have run |
      | 503    | 999  | may have run |
      | 500    | none | may have run |
      | 504    | none | may have run |

  Scenario: The command reports as JSON and exits with 6 when nobody serves
    Given an address where nobody listens
    When the load command offers 20 a second for 1 s
    Then it exits with status 6 and its report counts all requests as not run
