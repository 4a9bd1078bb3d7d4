Feature: Load program
  Load is open-loop, and latency is measured from the intended send time.

  Scenario: Arrivals and keys repeat with their seed
    Then arrivals at 500 a second for 2 s are the same for seed 3 and differ for seed 4
    And keys drawn twice with seed 3 are equal and "1" is the most frequent

  Scenario Outline: Keys follow the Zipf distribution
    Then 20000 draws from 50 keys with exponent <exponent> match the distribution

    Examples:
      | exponent |
      | 0.0      |
      | 0.8      |
      | 1.0      |
      | 1.5      |

  Scenario: Drawing from billions of keys needs no table of them
    Then one of 2100000000 keys with exponent 1.0 is drawn

  Scenario: Latency includes the time that requests wait during a server stall
    Given a plain server that stalls once for 400 ms
    When load is offered at 100 a second for 2 s
    Then all requests are done and at least 10 took over 200 ms

  Scenario: The text and the JSON of a report agree
    Given a plain server that stalls once for 0 ms
    When load is offered at 100 a second for 1 s
    Then the text and the JSON of the report give the same count of requests done

  Scenario: Requests to an address where nobody listens count as not run
    Given an address where nobody listens
    When load is offered at 50 a second for 1 s
    Then every request counts as not run

  Scenario: Requests beyond the in-flight limit are counted as unsent
    Given a plain server that stalls once for 600 ms
    When load is offered at 100 a second for 1 s with at most 5 in flight
    Then requests are unsent and every request is accounted for

  Scenario: A request whose connection ends without a response may have run
    Given a server that reads a request and closes the connection
    When load is offered at 50 a second for 1 s
    Then every request counts as may have run

  Scenario: The key is sent in the header, the path and the query
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

  Scenario: The command reports as JSON and exits with 6 if no request is served
    Given an address where nobody listens
    When the load command offers 20 a second for 1 s
    Then it exits with status 6 and its report counts all requests as not run
