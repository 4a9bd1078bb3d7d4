Feature: Client library
  Callers that embed it go straight to the owner of a key and repeat only what surely
  did not run or is idempotent.

  Background:
    Given two nodes that own the keys of orders

  Scenario: The owner is learnt and asked straight
    When the client reads 20 keys 3 times each
    Then every reply is done and belongs to its own call
    And at most 20 requests were forwarded

  Scenario: A moved key is followed without a detour after the first answer
    When the client reads 20 keys 1 times each
    And node-0 comes to own all keys
    And the client reads 20 keys 3 times each
    Then every reply is done and belongs to its own call
    And the last 40 replies came from node-0

  Scenario: An answer with an older view does not bring an old owner back
    When the client learns owner "b:1" at "2.5" and then owner "a:1" at "2.4"
    Then it holds owner "b:1"

  Scenario: Another node is asked when one is gone
    When node-1 stops
    And the client reads 20 keys 1 times each
    Then every reply has the outcome done or not-run and names node-0

  Scenario: An order that may have run is not sent again
    Given the owners run every request and lose the answer
    When the client sends 10 orders
    Then every reply may have run after 1 attempt and names its order id
    And nothing ran twice

  Scenario: A read that may have run is sent again
    Given the owners run every request and lose the first answer
    When the client reads 10 keys 1 times each
    Then every reply is done and belongs to its own call

  Scenario: A read that was lost and then refused may have run
    Given the owners run every first request, lose its answer and refuse the next
    When the client reads 5 keys 1 times each
    Then every reply may have run after at least 2 attempts

  Scenario: The pause that a refusal asks for is kept
    Given the owners refuse the first request with OVERLOADED for 150 ms
    When the client sends 5 orders
    Then every reply is done after at least 150 ms
    And nothing ran twice

  Scenario: A pause beyond the deadline ends the call at once
    Given the owners refuse the first request with OVERLOADED for 5000 ms
    When the client sends 5 orders
    Then every reply has code OVERLOADED within 100 ms

  Scenario: An order whose key changed owner gets a new id
    Given the owners find the first order ids too old
    When the client sends 10 orders
    Then every reply is done and belongs to its own call
    And nothing ran twice

  Scenario: An order id that the program gave is kept
    Given the owners find the first order ids too old
    When the client sends 1 orders with an id of its program
    Then every reply may have run after 1 attempt and names its order id

  Scenario Outline: A broken answer is never taken for a whole one
    Given the client knows only a server that <breaks>
    When the client sends 1 orders
    Then every reply may have run after 1 attempt and names its order id

    Examples:
      | breaks                      |
      | cuts the body               |
      | closes without an answer    |
      | answers something else      |
      | is silent                   |

  Scenario: Order ids are UUIDs of version 7 that grow with time
    When 1000 order ids are created
    Then all differ, are of version 7 and carry the present time
