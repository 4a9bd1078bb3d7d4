Feature: Clients that send all they may, and stop just short of the end, end no process
  # Each node is a process of its own with a limit of 120 MB and 400 descriptors in its
  # settings, which only bound what it holds for others. The crowd stays connected while
  # the ordinary request is sent. Guards against memory that grows with such clients
  # (issue 47).
  Background:
    Given a mesh of 2 node processes with 120 MB, 400 descriptors, heads of 32 KiB and bodies of 8 MiB

  Scenario: Heads of very many short lines
    When 400 clients each send 32 KiB of header lines of 4 bytes and no end
    Then the node lives, with at most 120 MB at its peak and 400 descriptors
    And an ordinary request is answered

  Scenario: Heads of odd lines
    When 400 clients each send 32 KiB of odd header lines and no end
    Then the node lives, with at most 120 MB at its peak and 400 descriptors
    And an ordinary request is answered

  Scenario: Bodies sent whole but for their last byte
    When 60 clients each send a body of 8 MiB but its last byte
    Then the node lives, with at most 120 MB at its peak and 400 descriptors
    And an ordinary request is answered

  Scenario: Bodies sent piece by piece but for their last byte
    When 60 clients each send a body of 8 MiB but its last byte, in turns of 64 KiB
    Then the node lives, with at most 120 MB at its peak and 400 descriptors
    And an ordinary request is answered

  Scenario: Bodies in large chunks without an end
    When 60 clients each send a body of 8 MiB in chunks of 65536 bytes and no end
    Then the node lives, with at most 120 MB at its peak and 400 descriptors
    And an ordinary request is answered

  Scenario: Bodies in very small chunks without an end
    When 60 clients each send a body of 1 MiB in chunks of 1 bytes and no end
    Then the node lives, with at most 120 MB at its peak and 400 descriptors
    And an ordinary request is answered

  Scenario: Long responses that are not read
    Given the targets answer with 3 MiB
    When 60 clients each send a read and do not read the response
    Then the node lives, with at most 120 MB at its peak and 400 descriptors
    And an ordinary request is answered

  Scenario: Connections without a byte
    When 600 clients connect and send nothing
    Then the node lives, with at most 120 MB at its peak and 400 descriptors
    And an ordinary request is answered
