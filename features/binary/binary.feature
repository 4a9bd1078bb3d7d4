Feature: The one binary
  Run by `make binary-check`, which builds it first.

  Background:
    Given the built binary and an empty directory to unpack into

  Scenario: It runs as one process and within its size
    When the binary serves as the store's stand-in
    Then it was one process at every look from its first moment on
    And it answers calls of the store's client
    And it holds at most 64 MB resident and 48 MB on file
    And it ends with status 0 on SIGTERM

  Scenario: A whole deployment runs in it as one process
    When the binary runs the demonstration for 12 s
    Then it was one process at every look from its first moment on
    And it ended with status 0

  Scenario: A second start uses what the first one unpacked
    When the binary is run twice
    Then all ran and one directory was unpacked
    And the second start wrote no file

  Scenario: Starts at the same time leave one directory
    When the binary is run 6 times at once
    Then all ran and one directory was unpacked

  Scenario: A directory that others can write to is not trusted
    When the binary is run twice with its directory open to others between
    Then the second run fails and says why

  Scenario: A truncated binary says so
    When a copy of the binary without its end is run
    Then it fails and says why
