Feature: Ingress
  Callers reach any node; rules find the service and the key, and every request gets
  its own whole answer or a numbered refusal.

  Background:
    Given an ingress with two owners of orders and one target of catalogue

  Scenario: Requests reach the owner of their key
    When 40 callers send requests for keys of their own
    Then every answer repeats its own request
    And every request reached the owner of its key only

  Scenario Outline: Keys are read where the rule says
    When a caller sends "<request>" with header "<header>"
    Then the target saw the key "<key>"

    Examples:
      | request                            | header          | key        |
      | GET /orders/7                      | Depot: Otago    | Otago      |
      | GET /orders                        | depot: Otago    | Otago      |
      | GET /orders                        | Depot: Whangārei | Whangārei |
      | GET /depots/Otago/orders           |                 | Otago      |
      | GET /depots/Whang%C4%81rei         |                 | Whangārei  |
      | GET /depots/a%2Fb/orders           |                 | a/b        |
      | GET /%64epots/Otago                |                 | Otago      |
      | GET /stock?depot=Te+Anau&x=1       |                 | Te Anau    |
      | GET /stock?x=1&depot=Whang%C4%81rei |                | Whangārei  |
      | GET http://mesh/depots/Otago       |                 | Otago      |

  Scenario Outline: Wrong requests get a numbered refusal that is true
    When a caller sends "<request>" with header "<header>"
    Then the answer is <status> with code <code> and outcome not-run
    And no target saw the request

    Examples:
      | request                  | header                     | status | code             |
      | GET /nowhere             |                            | 404    | NO_RULE          |
      | GET /ordersx             | Depot: Otago               | 404    | NO_RULE          |
      | GET /orders              |                            | 400    | KEY_MISSING      |
      | GET /stock?depot=        |                            | 400    | KEY_MISSING      |
      | GET /stock?depot=a&depot=b |                          | 400    | BAD_REQUEST      |
      | GET /depots/%FF          |                            | 400    | BAD_REQUEST      |
      | GET /depots/Otago/../x   |                            | 400    | BAD_REQUEST      |
      | GET /depots/%2e%2E/x     |                            | 400    | BAD_REQUEST      |
      | GET //depots/Otago       |                            | 400    | BAD_REQUEST      |
      | CONNECT mesh:443         |                            | 400    | BAD_REQUEST      |
      | GET /depots/Otago        | Request-Deadline-Ms: soon  | 400    | BAD_REQUEST      |
      | GET /depots/Otago        | Request-Deadline-Ms: 0     | 504    | DEADLINE_PASSED  |
      | POST /depots/Otago       |                            | 400    | ORDER_ID_INVALID |
      | POST /depots/Otago       | Idempotency-Key: 12        | 400    | ORDER_ID_INVALID |

  Scenario: Broken HTTP gets a numbered refusal and the process goes on
    When callers send broken HTTP
    Then each gets a numbered refusal and no target saw it
    And the ingress still serves

  Scenario: Bodies above the limit are refused, declared or chunked
    When callers send bodies above the limit
    Then each gets the code BODY_TOO_LARGE
    And the ingress still serves

  Scenario: Headers of a node can't be set by a caller
    When a caller sends "GET /depots/Otago" with header "Fencing-Token: 99"
    Then the target saw no header "Fencing-Token"

  Scenario: The deadline is bounded by the service
    When a caller sends "GET /depots/Otago" with header "Request-Deadline-Ms: 99999"
    Then the target was given at most 5000 ms

  Scenario: Hostile input never stops the process
    When hostile request lines, headers and bodies are sent
    Then every connection ended with a numbered answer or a closed socket
    And the ingress still serves
