Feature: A response that its target breaks off never reaches a caller as a whole one
  # Shows that a target that stops within the head of its response, and closes, cannot
  # be taken for one that has sent an empty or a short body
  Scenario Outline: No part of the head of <response> counts as a response
    When the connection is closed after each byte of the head of <response>
    Then no part counts as a response, however it was divided

    Examples:
      | response                                 |
      | a 200 with a length                      |
      | a 200 with chunks                        |
      | a 200 without a length                   |
      | a 200 without a length that says close   |
      | a 200 of HTTP/1.0                        |
      | a 200 with an empty body                 |
      | a 204                                    |
      | a refusal                                |
      | a 200 after two interim responses        |
      | a 200 after a copy of an earlier one     |

  Scenario: No part of the head of a response to HEAD counts as a response
    When a HEAD request's connection is closed after each byte of a head
    Then no part counts as a response, however it was divided

  Scenario Outline: No part of the body of <response> counts as a response
    When the connection is closed after each byte of the body of <response>
    Then no part counts as a response, however it was divided

    Examples:
      | response                                 |
      | a 200 with a length                      |
      | a 200 with chunks                        |
      | a 200 after two interim responses        |

  Scenario: An order whose target stops within the head of its response has no success
    Given a mesh of 2 keyed targets that close after some bytes of a response
    When an order is sent for each number of bytes of its response's head
    Then each order ends with 502 or 504 after one run

  Scenario: A read whose target once stops within the head of its response is sent again
    Given a mesh of 2 keyed targets that close after some bytes of a response
    When a read is sent for each number of bytes of its response's head, cut only once
    Then each read ends with the whole response
