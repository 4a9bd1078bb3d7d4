Feature: Records of orders that are handed over
  Scenario: An order that still waits is not handed over as sent
    Given the records of a node with an order that waits and one that was sent
    When the range of both is handed over to another node
    Then the other node may run the order that waited
    And it answers that the order that was sent may have run
