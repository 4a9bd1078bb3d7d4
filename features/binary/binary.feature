Feature: The single-file binary
  `make binary-check` builds the binary and then runs this feature.

  Background:
    Given the built binary and an empty directory to unpack into

  Scenario: The binary runs as one process within its limits of memory and size
    When the binary runs as a store emulator
    Then no child process was seen from its start on
    And it responds to calls of the store client
    And it takes at most 64 MB of resident memory and 48 MB on disk
    And it exits with status 0 on SIGTERM

  Scenario: The binary runs a whole deployment as one process
    When the binary runs the demo for 12 s
    Then no child process was seen from its start on
    And it exited with status 0

  Scenario: The second run reuses the files that the first one unpacked
    When the binary is run twice
    Then all runs succeeded and one directory was unpacked
    And the second run wrote no file

  Scenario: Concurrent runs unpack one directory
    When the binary is run 6 times at once
    Then all runs succeeded and one directory was unpacked

  Scenario: A directory that other users can write to is not trusted
    When the unpacked directory becomes writable for others between two runs
    Then the second run fails with a reason

  Scenario: A truncated binary reports an error
    When a truncated copy of the binary is run
    Then it fails with a reason
