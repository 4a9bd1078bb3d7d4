Feature: Bytes that do not end cost no more than their time and a few MB
  # Guards against exchanges that outlive their time, since each receive began it anew,
  # against heads that take the memory of their VM, and against an event loop that
  # stands still while data is always there.
  Scenario Outline: An exchange ends in time where a target sends <bytes> without end
    Given a sender of <bytes> without end
    When a request of 600 ms is sent to that sender
    Then it ends as one that may have run, at most 500 ms after its time
    And at most 6 MB were taken meanwhile
    And others waited at most 250 ms for their turn
    And its connection is not kept

    Examples:
      | bytes                 |
      | headers               |
      | one header            |
      | a status line         |
      | chunks of one byte    |
      | a body without length |
      | a chunk's extension   |
      | trailers              |
      | one trailer           |
      | interim answers       |
      | slow interim answers  |
      | a slow head           |
      | a slow body           |
      | another protocol      |

  # Guards against a bound that cuts off what a sound target sends.
  Scenario Outline: <answer> within the request's time is taken whole
    Given a target that sends <answer>
    When a request of 3000 ms is sent to that target
    Then its whole answer is returned

    Examples:
      | answer                                  |
      | an answer a piece each 100 ms           |
      | 1000000 bytes in chunks of 10 bytes     |
      | 3000000 bytes of known length           |
      | chunks whose sizes come apart           |
      | 40 interim answers before its own       |
      | a head of 16000 bytes                   |

  # Guards against a deadline that throws away what has come while the process was busy.
  Scenario: An answer that is there when the time is over is taken
    Given a target that sends 3000 bytes of known length
    When a request of 200 ms is sent to that target while the process stands still for 400 ms
    Then its whole answer is returned

  # Guards against a health probe that never ends, so that the target counts as alive.
  Scenario Outline: A target whose health page sends <bytes> without end is silent
    Given a mesh of 1 keyed targets
    And a sender of <bytes> without end
    When its node asks that sender for its target's health
    Then the target is taken for silent at most 500 ms after the probe's time
    And at most 6 MB were taken meanwhile
    And others waited at most 250 ms for their turn

    Examples:
      | bytes           |
      | headers         |
      | interim answers |
      | a slow head     |

  # Guards against a node that waits for the store beyond the time of a call, or that a
  # store takes down with an answer that does not end.
  Scenario Outline: A call ends in time where the store sends <bytes> without end
    Given a sender of <bytes> without end
    When an object of that store is read within 600 ms
    Then the call fails, at most 500 ms after its time
    And at most 24 MB were taken meanwhile
    And others waited at most 250 ms for their turn

    Examples:
      | bytes                 |
      | headers               |
      | one trailer           |
      | chunks of one byte    |
      | a body without length |
      | interim answers       |
      | a slow head           |
      | a slow body           |

  # Guards against a listing that never ends, and one that a slow link cuts off.
  Scenario: A listing may take longer than a call, but not longer than its time
    Given a sender of a slow body without end
    When a kind of that store is listed within 600 ms
    Then the call fails, at most 500 ms after its time
    Given a target that sends a listing in 1500 ms
    When a kind of that store is listed
    Then the listing is whole

  # Guards against a store that answers nothing and holds up its clients for long.
  Scenario: A listing of a silent store ends after the time of a call
    Given a target that sends nothing at all
    When a kind of that store is listed within 3000 ms
    Then the call fails, 1000 ms to 1500 ms after its start

  # Guards against a time that is given to the sending of a call and again to its answer.
  Scenario: A call to a store that reads late and answers slowly ends in time
    Given a sender of a slow body, once it has read without end
    When an object of 24000000 bytes is written to that store within 1000 ms
    Then the call fails, at most 500 ms after its time

  # Guards against a bound that cuts off what the store may hold.
  Scenario: A large answer of the store is taken whole
    Given a store and a client of it
    When 8 objects of 1000000 bytes are written, and watched from before
    Then the watch shows all of them whole

  # Guards against callers that hold a connection for ever, a byte at a time, that take
  # the memory of a node, or leave no turn to others.
  Scenario Outline: A caller that sends <bytes> without end is refused in time
    Given a listener whose callers have 600 ms for a head and 2000 ms for a request
    When a caller sends <bytes> to it without end
    Then the caller gets status <status> and is disconnected within 3000 ms
    And at most 6 MB were taken meanwhile
    And others waited at most 250 ms for their turn
    And no request was served

    Examples:
      | bytes                              | status |
      | requests' headers                  | 431    |
      | one header of a request            | 431    |
      | a target of a request              | 431    |
      | a head of 20000 bytes in one piece | 431    |
      | trailers of a request              | 431    |
      | one trailer of a request           | 431    |
      | bytes that are no request          | 400    |
      | a slow head of a request           | 408    |
      | a slow body of a request           | 408    |

  # Guards against the same for a body, whose size ends it long before its time does.
  Scenario: A caller that sends a body in chunks of one byte without end is refused
    Given a listener whose callers have 600 ms for a head and 2000 ms for a request
    And which accepts bodies of up to 65536 bytes
    When a caller sends a body in chunks of one byte to it without end
    Then the caller gets status 413 and is disconnected within 3000 ms
    And at most 6 MB were taken meanwhile
    And others waited at most 250 ms for their turn
    And no request was served

  # Guards against a caller whose requests are always there, so that others wait.
  Scenario: Requests that come without end leave others their turn
    Given a listener whose callers have 600 ms for a head and 2000 ms for a request
    When a caller sends whole requests to it without end
    Then its requests were served
    And others waited at most 250 ms for their turn

  # Guards against limits that cut off callers who keep within them.
  Scenario Outline: A caller that sends <request> is served
    Given a listener whose callers have 600 ms for a head and 2000 ms for a request
    When a caller sends <request>
    Then it gets status 200 and the listener received its whole body

    Examples:
      | request                                        |
      | a head of 16000 bytes in one piece             |
      | a head in 4 pieces, one each 100 ms            |
      | a body in 8 pieces, one each 100 ms            |
      | a body of 1000000 bytes in chunks of 10 bytes  |
      | a body whose chunk sizes arrive in pieces       |
      | two requests, the second 800 ms after the first |

  # Guards against a command that hangs, or fills its machine, at a broken node.
  Scenario Outline: A command that reads <bytes> from a node ends in time
    Given a sender of <bytes> without end
    When a page of that node is read within 600 ms
    Then it fails with code <code>, at most 500 ms after its time
    And at most 40 MB were taken meanwhile

    Examples:
      | bytes                 | code |
      | headers               | 208  |
      | one header            | 208  |
      | chunks of one byte    | 208  |
      | a body without length | 208  |
      | interim answers       | 208  |
      | a slow body           | 208  |

  # Guards against a peer, or another program at its address, at whose answer a node
  # stands still.
  Scenario Outline: A link is not opened where <bytes> come without end
    Given a sender of <bytes> without end
    When a link to that sender is dialled within 400 ms
    Then it is not opened, at most 500 ms after its time
    And at most 6 MB were taken meanwhile

    Examples:
      | bytes                 |
      | headers               |
      | one header            |
      | chunks of one byte    |
      | a body without length |
      | a slow head           |
      | a slow body           |

  Scenario Outline: A listener for links turns <bytes> without end away
    Given a listener for links
    When that listener gets <bytes> without end
    Then its handshake fails within 1500 ms
    And at most 6 MB were taken meanwhile
    And others waited at most 250 ms for their turn

    Examples:
      | bytes                   |
      | requests' headers       |
      | one header of a request |
      | a target of a request   |
      | a slow head of a request |
