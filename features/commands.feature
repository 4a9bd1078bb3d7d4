Feature: Commands name what is wrong and end with a numbered status

  Scenario: All wrong settings of a node are named at once
    When "node" runs with
      | option          | value         |
      | --node-id       | a b           |
      | --cell          | c/1           |
      | --caller        | localhost:80  |
      | --peer          | 10.0.0.1:7002 |
      | --target        | 127.0.0.1:0   |
      | --operator      | 0.0.0.0:70    |
      | --platform-kind | gopher        |
      | --secret        | short         |
      | --drain-ms      | soon          |
    Then it ends with status 3 and code 601
    And it names exactly
      | setting         | expected                    |
      | --node-id       | 1 to 63 letters             |
      | --cell          | 1 to 63 letters             |
      | --group         | 1 to 63 letters             |
      | --zone          | 1 to 63 letters             |
      | --region        | 1 to 63 letters             |
      | --caller        | IP:PORT                     |
      | --target        | IP:PORT                     |
      | --operator      | not a wildcard              |
      | --platform      | IP:PORT                     |
      | --platform-kind | http                        |
      | --drain-ms      | a whole number              |
      | --secret        | at least 16 characters      |
    And the secret is not repeated

  Scenario Outline: "<command>" ends with status <status>
    When "<command>" runs
    Then it ends with status <status> and code <code>

    Examples:
      | command                                             | status | code |
      | --help                                              | 0      | 0    |
      | fly                                                 | 2      | 0    |
      | node --fly                                          | 2      | 0    |
      | ticket check examples/kowhai/1-start.toml           | 0      | 0    |
      | ticket check README.md                              | 4      | 401  |
      | ticket apply examples/kowhai/1-start.toml           | 3      | 601  |
      | ticket list --node 127.0.0.1:1                      | 6      | 209  |
      | status                                              | 3      | 601  |
      | owner --node 127.0.0.1:1 depot-1                    | 6      | 209  |
      | load --node 127.0.0.1:x --rate many                 | 3      | 601  |
      | emulate target --listen 127.0.0.1:1 --slots 0       | 3      | 601  |
      | emulate platform --listen here                      | 3      | 601  |

  Scenario: No setting and no answer of a node breaks a command
    Then arbitrary settings raise nothing but setting errors
    And arbitrary answers of a node raise nothing but numbered errors

  Scenario: The help of every command has an example that its options accept
    Then each command's help closes with an example that can be read

  Scenario: Every setting of a node can be given as a variable
    Then flags and variables give a node the same settings

  Scenario: A secret is wanted for all but health and metrics
    Given an operator server with a secret
    Then each page without the secret answers
      | page     | status | code |
      | /healthz | 200    | 0    |
      | /metrics | 200    | 0    |
      | /readyz  | 200    | 0    |
      | /status  | 401    | 305  |
      | /dump    | 401    | 305  |
      | /owner   | 401    | 305  |
      | /tickets | 401    | 305  |
      | /nowhere | 404    | 306  |
    And the dump with the secret hides it and shows every part

  Scenario: Hostile requests get a numbered answer and the server goes on
    Given an operator server without a secret
    Then arbitrary paths, queries and bodies get numbered answers
    And broken HTTP gets a numbered answer
      | request                                      |
      | garbage                                      |
      | GET /status HTTP/9.9                         |
      | POST /tickets HTTP/1.1\nContent-Length: -1   |
      | POST /tickets HTTP/1.1\nContent-Length: 1e9  |
      | POST /tickets HTTP/1.1\nTransfer-Encoding: chunked\n\nzz |
    And the server still answers its health page

  Scenario: Metrics give each refusal its number and its name
    Given an operator server without a secret
    Then the metrics hold
      | line                                                             |
      | knapweedrock_caller_refusals{code="101",name="NOT_OWNER"} 3      |
      | knapweedrock_platform_errors{code="501",name="PLATFORM_UNAVAILABLE"} 1 |
      | knapweedrock_lease_remaining_ms 900.0                            |
      | knapweedrock_members{state="serving",zone="zone-a"} 1            |
    And a label's value is escaped

  Scenario Outline: A request of an operator's command is sent once
    Given a server that reads a request and closes the connection
    When "<command>" runs
    Then it ends with status 6 and code 208
    And the server has read 1 request

    Examples:
      | command                                                       |
      | status --node NODE                                            |
      | ticket apply --node NODE examples/kowhai/1-start.toml         |

  Scenario: A ticket goes in by a node, and waiting names the node that is behind
    Given an operator server without a secret
    When "ticket apply --node NODE --wait 0.3 examples/kowhai/1-start.toml" runs
    Then it ends with status 5 and code 407
    And it says "not in force at node n2: holds version 0"
    When every member holds the configuration
    And "ticket apply --node NODE --wait 5 examples/kowhai/1-start.toml" runs
    Then it ends with status 0 and code 0
    And it says "was accepted before"
    And it says "in force everywhere"

  Scenario: Waiting does not take a cell without a coordinator for done
    Given an operator server without a secret
    And its node knows nobody and waits for voters
    When "ticket apply --node NODE --wait 0.3 examples/kowhai/1-start.toml" runs
    Then it ends with status 5 and code 407
    And it says "not in force at cell c1: its coordinator does not answer"
    When "status --node NODE" runs
    Then it says "not right: the cell waits for a majority of the voters"

  Scenario: A node that fails while an operator waits leaves the ticket accepted
    Given an operator server without a secret
    And its status page fails
    When "ticket apply --node NODE --wait 0.3 examples/kowhai/1-start.toml" runs
    Then it ends with status 5 and code 407
    And it says "ticket 1 is accepted in version 1"
    And it says "not in force at an unknown number of nodes: 701 INTERNAL"

  Scenario: Status and owner tell what is not right and who owns a key
    Given an operator server without a secret
    And every member holds the configuration
    When "status --node NODE" runs
    Then it ends with status 0 and code 0
    And it says "not right: zone zone-b has nodes and is not in the configuration"
    And it says "to mend: apply a ticket with zone zone-b"
    When "owner --node NODE --service depot-orders depot-17" runs
    Then it ends with status 0 and code 0
    And it says "owned by n1 in zone-a"
    And it says "token 7"

  Scenario: Operators that race on the stand-in leave one version for each accepted ticket
    Given a platform stand-in that loses answers
    When 6 operators apply 8 tickets each by own clients
    Then the stand-in holds one version for each accepted ticket

  Scenario: Two reports of a cell show what changed between them
    Given an operator server without a secret
    When "report take --node NODE DIR/a.json" runs
    Then it ends with status 0 and code 0
    And it says "cell c1, 2 of 2 nodes"
    When all keys move to n2, 3 callers are refused, and n2 stops
    And "report take --node NODE DIR/b.json" runs
    Then it says "1 of 2 nodes"
    And it says "not read: n2: 209 PEER_UNREACHABLE"
    When "report compare DIR/a.json DIR/b.json" runs
    Then it ends with status 0 and code 0
    And it says "depot-orders  n1            n2     100.00%"
    And it says "n2    not read"
    And it says "NOT_OWNER        +3"
    And arbitrary changes of b.json raise nothing but REPORT_MALFORMED

  Scenario Outline: "<command>" ends with code <code>
    Given reports of a cell and of loads
    When "<command>" runs
    Then it ends with status <status> and code <code>

    Examples:
      | command                                  | status | code |
      | report take --node NODE DIR/cell.json    | 1      | 308  |
      | report take --node NODE DIR/no/cell.json | 1      | 308  |
      | report compare DIR/cell.json README.md   | 1      | 307  |
      | report compare DIR/cell.json DIR/l.json  | 1      | 307  |
      | report plot DIR/cell.json                | 1      | 307  |
      | report plot DIR/nowhere.json             | 1      | 307  |
      | report plot DIR/l.json DIR/l.json        | 0      | 0    |

  Scenario: A plot shows the share of each latency and of each second
    Given reports of a cell and of loads
    When "report plot DIR/l.json" runs
    Then it says "       2  ############              50.0%"
    And it says "       1  ######                    25.0%"
    And arbitrary changes of l.json raise nothing but REPORT_MALFORMED

  Scenario: The page of settings lists each flag, variable and default
    Then docs/operators/settings.md lists exactly the options of each command

  Scenario: The table of codes in the docs is the one of the program
    Then docs/operators/codes.md lists exactly the codes with their meanings
