Feature: Reading endless data exceeds neither its timeout nor a few MB of memory
  # Guards against requests that exceed their timeout because each receive restarts it,
  # against heads that use up the memory of their VM, and against an event loop that is
  # blocked while data is always available.
  Scenario Outline: A request ends in time if its target sends <bytes> without end
    Given a sender of <bytes> without end
    When a request with a timeout of 600 ms is sent to that sender
    Then it fails as possibly executed, at most 500 ms after its timeout
    And at most 6 MB were allocated meanwhile
    And other tasks waited at most 250 ms for the event loop
    And its connection is not kept open

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

  # Guards against a VM that runs out of memory because all slots of a faulty target send
  # without end at the same time, in a head or in a body (issue 40)
  Scenario Outline: A request in each of 18 slots of a target that sends <bytes> without end
    Given a sender of <bytes> without end
    When 18 requests with a timeout of 600 ms are sent to that sender at the same time
    Then all of them fail as possibly executed, at most 2500 ms after their timeout
    And at most 100 MB were allocated meanwhile
    And other tasks waited at most 250 ms for the event loop

    Examples:
      | bytes                 |
      | a body without length |
      | chunks of one byte    |
      | headers               |
      | another protocol      |

  # Guards against a limit that cuts off what a healthy target sends.
  Scenario Outline: The complete answer is returned if a server sends <answer> in time
    Given a server that sends <answer>
    When a request with a timeout of 3000 ms is sent to that server
    Then its complete answer is returned

    Examples:
      | answer                                |
      | an answer in pieces, one every 100 ms |
      | 1000000 bytes in chunks of 10 bytes   |
      | 3000000 bytes of known length         |
      | chunks whose sizes arrive separately  |
      | 40 interim responses before its own   |
      | a head of 16000 bytes                 |

  # Guards against a timeout that discards what arrived while the process was busy.
  Scenario: An answer that has arrived when the timeout fires is returned
    Given a server that sends 3000 bytes of known length
    When a request with a timeout of 200 ms is sent to that server while the process is blocked for 400 ms
    Then its complete answer is returned

  # Guards against a health probe that never ends, so that the target counts as alive.
  Scenario Outline: A target whose health check sends <bytes> without end is silent
    Given a mesh of 1 keyed targets
    And a sender of <bytes> without end
    When its node probes that sender as its target
    Then the target counts as silent at most 500 ms after the probe's timeout
    And at most 6 MB were allocated meanwhile
    And other tasks waited at most 250 ms for the event loop

    Examples:
      | bytes           |
      | headers         |
      | interim answers |
      | a slow head     |

  # Guards against a node that waits for the store longer than the timeout of a call, or
  # that fails because of an endless answer of the store.
  Scenario Outline: A call ends in time if the store sends <bytes> without end
    Given a sender of <bytes> without end
    When an object is read from that store within 600 ms
    Then the call fails, at most 500 ms after its timeout
    And at most 24 MB were allocated meanwhile
    And other tasks waited at most 250 ms for the event loop

    Examples:
      | bytes                 |
      | headers               |
      | one trailer           |
      | chunks of one byte    |
      | a body without length |
      | interim answers       |
      | a slow head           |
      | a slow body           |

  # Guards against a listing that never ends, and against a listing that a slow link
  # cuts off.
  Scenario: A listing may take longer than a call, but not longer than its timeout
    Given a sender of a slow body without end
    When the objects of a kind are listed from that store within 600 ms
    Then the call fails, at most 500 ms after its timeout
    Given a server that sends a listing in 1500 ms
    When the objects of a kind are listed from that store
    Then the listing is complete

  # Guards against a store that never answers and blocks its clients for a long time.
  Scenario: A listing of a silent store ends after the timeout of a call
    Given a server that sends nothing at all
    When the objects of a kind are listed from that store within 3000 ms
    Then the call fails, 1000 ms to 1500 ms after its start

  # Guards against a timeout that applies to sending a call and starts again for its
  # answer.
  Scenario: A call to a store that reads late and answers slowly ends in time
    Given a sender of a slow body after a late read without end
    When an object of 24000000 bytes is written to that store within 1000 ms
    Then the call fails, at most 500 ms after its timeout

  # Guards against a limit that cuts off what the store may contain.
  Scenario: A large answer of the store is received completely
    Given a store and a client of it
    When 8 objects of 1000000 bytes are written, and watched from before
    Then the watch returns all of them complete

  # Guards against callers that keep a connection forever by sending a byte at a time,
  # use up the memory of a node, or block its event loop.
  Scenario Outline: A caller that sends <bytes> without end is rejected in time
    Given a listener whose callers have 600 ms for a head and 2000 ms for a request
    When a caller sends <bytes> to it without end
    Then the caller gets status <status> and is disconnected within 3000 ms
    And at most 6 MB were allocated meanwhile
    And other tasks waited at most 250 ms for the event loop
    And no request was served

    Examples:
      | bytes                              | status |
      | requests' headers                  | 431    |
      | one header of a request            | 431    |
      | a request target                   | 431    |
      | a head of 20000 bytes in one piece | 431    |
      | trailers of a request              | 431    |
      | one trailer of a request           | 431    |
      | bytes that are not a request       | 400    |
      | a slow head of a request           | 408    |
      | a slow body of a request           | 408    |

  # Guards against a body in tiny chunks that uses up memory or blocks the event loop; its
  # size limit ends it long before its timeout.
  Scenario: A caller that sends a body in chunks of one byte without end is rejected
    Given a listener whose callers have 600 ms for a head and 2000 ms for a request
    And the listener accepts bodies of up to 65536 bytes
    When a caller sends a body in chunks of one byte to it without end
    Then the caller gets status 413 and is disconnected within 3000 ms
    And at most 6 MB were allocated meanwhile
    And other tasks waited at most 250 ms for the event loop
    And no request was served

  # Guards against a caller that always has another request ready, so that other tasks
  # wait.
  Scenario: Requests that arrive without end do not block other tasks
    Given a listener whose callers have 600 ms for a head and 2000 ms for a request
    When a caller sends whole requests to it without end
    Then its requests were served
    And other tasks waited at most 250 ms for the event loop

  # Guards against limits that cut off callers which stay within them.
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

  # Guards against a command that hangs, or uses up memory, at a faulty node.
  Scenario Outline: A command that reads <bytes> from a node ends in time
    Given a sender of <bytes> without end
    When a page of that node is read within 600 ms
    Then it fails with code <code>, at most 500 ms after its timeout
    And at most 40 MB were allocated meanwhile

    Examples:
      | bytes                 | code |
      | headers               | 208  |
      | one header            | 208  |
      | chunks of one byte    | 208  |
      | a body without length | 208  |
      | interim answers       | 208  |
      | a slow body           | 208  |

  # Guards against a node that is blocked by the answer of a peer, or of another program
  # at the peer's address.
  Scenario Outline: A link to a sender of <bytes> without end is not opened
    Given a sender of <bytes> without end
    When a link to that sender is dialled within 400 ms
    Then it is not opened, and the dial fails at most 500 ms after its timeout
    And at most 6 MB were allocated meanwhile

    Examples:
      | bytes                 |
      | headers               |
      | one header            |
      | chunks of one byte    |
      | a body without length |
      | a slow head           |
      | a slow body           |

  Scenario Outline: A listener for links rejects <bytes> without end
    Given a listener for links
    When that listener receives <bytes> without end
    Then its handshake fails within 1500 ms
    And at most 6 MB were allocated meanwhile
    And other tasks waited at most 250 ms for the event loop

    Examples:
      | bytes                   |
      | requests' headers       |
      | one header of a request |
      | a request target        |
      | a slow head of a request |
