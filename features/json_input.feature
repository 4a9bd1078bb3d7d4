Feature: JSON of other writers is decoded with bounds, and split without recursion
  Scenario: The parts of random arrays and objects are their elements and members
    When random arrays and objects are split
    Then the decoded parts are what a decoder finds

  Scenario: Random bytes and damaged documents raise no error but InputError
    When random bytes and damaged documents are decoded and split
    Then each call returned or raised InputError

  Scenario Outline: A value nested <levels> levels deep is <outcome>
    When an array of <levels> levels is decoded
    Then the nested value is <outcome>

    Examples:
      | levels  | outcome  |
      | 64      | accepted |
      | 65      | refused  |
      | 500,000 | refused  |

  # Guards against splitting that stops the event loop of a node
  Scenario Outline: A document of 1 MB of <pattern> holds up no other task
    When a document of 1 MB of <pattern> beside a nested value is split
    Then no turn of the event loop took 250 ms
    And the value beside it is found

    Examples:
      | pattern                      |
      | nested arrays                |
      | nested objects               |
      | empty arrays                 |
      | small objects with strings   |
      | escaped quotes               |
      | opened brackets in a string  |
