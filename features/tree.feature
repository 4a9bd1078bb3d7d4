Feature: Structure of the source tree
  Scenario: Modules do not import each other in a cycle
    When the imports of all modules are read
    Then there is no import cycle
    And an inserted import cycle is found

  Scenario: Only the adapter and the stand-ins use names from the platform's messages
    When the strings of all modules outside of the adapter and the stand-ins are read
    Then none is a name from the platform's messages
    And the adapter itself uses such names
