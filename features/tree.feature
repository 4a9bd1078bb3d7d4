Feature: The tree keeps its order
  Scenario: No modules import each other in a circle
    When the imports of all modules are read
    Then there is no circle
    And a circle that is put in is found

  Scenario: Nothing outside of the adapter names what the platform's messages name
    When the strings of all modules outside of the adapter and the stand-ins are read
    Then none is a name of the platform's messages
    And the adapter itself has such names
