Feature: Commands report every error and end with a numbered exit status

  Scenario: All invalid settings are reported at once
    When "emulate target" runs with
      | option    | value         |
      | --listen  | localhost:80  |
      | --node    | 0.0.0.0:70    |
      | --service | a b           |
      | --slots   | many          |
      | --work-ms | -1            |
      | --cold-s  | nan           |
      | --seed    | ٣             |
    Then it ends with status 3 and code 601
    And it names exactly
      | setting   | expected          |
      | --listen  | IP:PORT           |
      | --node    | not a wildcard    |
      | --service | 1 to 63 letters   |
      | --zone    | 1 to 63 letters   |
      | --slots   | a whole number    |
      | --work-ms | a number from 0   |
      | --cold-s  | a number from 0   |
      | --seed    | a whole number    |

  Scenario Outline: "<command>" ends with status <status>
    When "<command>" runs
    Then it ends with status <status> and code <code>

    Examples:
      | command                                                           | status | code |
      | --help                                                            | 0      | 0    |
      | fly                                                               | 2      | 0    |
      | emulate target --fly                                              | 2      | 0    |
      | serve --settings-file README.md                                   | 3      | 601  |
      | serve --settings-file nowhere.env                                 | 3      | 601  |
      | status                                                            | 3      | 601  |
      | status --node 127.0.0.1:x                                         | 3      | 601  |
      | status --node 127.0.0.1:1                                         | 6      | 209  |
      | owner --node 127.0.0.1:1 17                                       | 6      | 209  |
      | dump --node 127.0.0.1:1 --node 127.0.0.1:2                        | 6      | 209  |
      | load --node 127.0.0.1:x --rate many                               | 3      | 601  |
      | emulate target --listen 127.0.0.1:1 --slots 0                     | 3      | 601  |
      | emulate store --listen here                                       | 3      | 601  |
      | emulate store --listen 127.0.0.1:1 --configuration README.md      | 4      | 401  |
      | emulate store --listen 127.0.0.1:1 --configuration nowhere.json   | 4      | 401  |
      | story nobody README.md                                            | 1      | 307  |
      | causes README.md                                                  | 1      | 307  |
      | report compare README.md README.md                                | 1      | 307  |

  Scenario: No setting and no response of a node crashes a command
    Then arbitrary settings raise nothing but setting errors
    And arbitrary responses of a node raise nothing but numbered errors

  Scenario: The help of every command has an example that its options accept
    Then each command's help ends with an example that can be parsed

  Scenario: Every setting of a stand-in can be given as an environment variable
    Then flags and variables give a target the same settings

  Scenario: Operators' pages respond with content or a code
    Given a mesh that operators inspect
    Then its pages respond with
      | page                      | status | code |
      | /metrics                  | 200    | 0    |
      | /status                   | 200    | 0    |
      | /dump                     | 200    | 0    |
      | /owner?key=17             | 200    | 0    |
      | /owner?service=orders&key=65535 | 200 | 0 |
      | /owner?service=orders&key=65536 | 400 | 301 |
      | /owner?service=orders&key=-1    | 400 | 301 |
      | /owner?service=nothing&key=1    | 404 | 108 |
      | /owner?service=catalogue&key=x  | 200 | 0   |
      | /nowhere                  | 404    | 306  |
      | /                         | 404    | 306  |

  Scenario: A node answers malformed operator requests with a code and keeps running
    Given a mesh that operators inspect
    Then arbitrary paths and queries get responses with a known code
    And invalid HTTP is refused
      | request                                          |
      | garbage                                          |
      | GET /status HTTP/9.9                             |
      | POST /status HTTP/1.1\nContent-Length: -1        |
      | POST /status HTTP/1.1\nTransfer-Encoding: chunked\n\nzz |
    And the node still shows its status

  Scenario: A request of an operator's command is sent once
    Given a server that reads a request and closes the connection
    When "status --node NODE" runs
    Then it ends with status 6 and code 208
    And the server has read 1 request

  Scenario: The next node is queried if the first one is unavailable
    Given a mesh that operators inspect
    When "status --node 127.0.0.1:1 --node NODE" runs
    Then it ends with status 0 and code 0
    And it says "no problems found"

  Scenario: Status and owner show problems and the owner of a key
    Given a mesh that operators inspect
    When "status --node NODE" runs
    Then it ends with status 0 and code 0
    And it says "orders   node-0  50.0%"
    And it says "no problems found"
    When "owner --node NODE 17" runs
    Then it ends with status 0 and code 0
    And it says "orders 17: owned by node-0 in zone-a"
    When "owner --node NODE --service catalogue 17" runs
    Then it says "nobody owns keys of catalogue; served by catalogue-"
    When zone "zone-b" is taken out of service on all nodes
    And "status --node NODE" runs
    Then it says "problem: zone zone-b is out"
    And it says "to fix: remove its entry from the store to bring zone zone-b back"
    When the target of "node-0" crashes
    And "status --node NODE" runs
    Then it says "problem: the target beside node node-0 is not heard"
    And it says "problem: no target of orders is ready"

  Scenario: The status of an isolated node says what is missing
    Given a node that reaches neither store nor peers
    When "status --node NODE" runs
    Then it says "problem: the node has heard of no coordinator"
    And it says "holds no lease"
    And it says "problem: no configuration is in force"
    When "owner --node NODE 17" runs
    Then it ends with status 1 and code 111

  Scenario: Comparing two reports of a mesh shows what changed between them
    Given a mesh that operators inspect
    When "report take --node NODE --node OTHER DIR/a.json" runs
    Then it ends with status 0 and code 0
    And it says "2 of 2 nodes"
    When the VM of "node-1" is lost and its keys have moved
    And a request without a route is refused
    And "report take --node NODE --node OTHER DIR/b.json" runs
    Then it says "1 of 2 nodes"
    And it says "209 PEER_UNREACHABLE"
    When "report compare DIR/a.json DIR/b.json" runs
    Then it ends with status 0 and code 0
    And it says "orders   node-1        node-0  50.00%"
    And it says "not read"
    And it says "requests_unrouted"
    And arbitrary changes of b.json raise nothing but REPORT_MALFORMED

  Scenario Outline: "<command>" ends with code <code>
    Given a mesh report and a load report
    When "<command>" runs
    Then it ends with status <status> and code <code>

    Examples:
      | command                                  | status | code |
      | report take --node NODE DIR/mesh.json    | 1      | 308  |
      | report take --node NODE DIR/no/mesh.json | 1      | 308  |
      | report compare DIR/mesh.json README.md   | 1      | 307  |
      | report compare DIR/mesh.json DIR/l.json  | 1      | 307  |
      | report plot DIR/mesh.json                | 1      | 307  |
      | report plot DIR/nowhere.json             | 1      | 307  |
      | report plot DIR/l.json DIR/l.json        | 0      | 0    |

  Scenario: A plot shows shares of requests by latency and by second
    Given a mesh report and a load report
    When "report plot DIR/l.json" runs
    Then it says "       2  ############              50.0%"
    And it says "       1  ######                    25.0%"
    And arbitrary changes of l.json raise nothing but REPORT_MALFORMED

  Scenario Outline: The stand-ins serve requests with the configuration of <deployment>
    Given processes of a store with "examples/<deployment>/configuration.json", a target of "<service>" and a node
    Then the target responds to a request for a key

    Examples:
      | deployment    | service      |
      | kowhai        | depot-orders |
      | hedelmaverkko | tilaus       |

  Scenario: The settings page lists each flag, variable and default
    Then docs/operators/settings.md lists exactly the options of each command

  Scenario: The table of codes in the docs matches the program
    Then docs/operators/codes.md lists exactly the codes with their meanings
