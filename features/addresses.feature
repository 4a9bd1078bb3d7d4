Feature: Concurrent test runs use separate loopback addresses
  # Guards against a mesh that is assigned the address of a node of another test run
  # while that node is down.
  Scenario: No two processes reserve the same address
    Given 2 processes that reserve 1000 addresses each and keep running
    Then no address is reserved by both processes
    And each process has reserved 1000 different addresses
