Feature: A worker's response is trusted only if it belongs to the current attempt
  Every response carries the attempt's id. Nothing is concluded from any other response, because the request may have run.

  Scenario Outline: A stale rejection on a reused connection isn't applied to the current attempt
    Given a gateway and a worker with persistent connections
    And a second worker that responds correctly
    When on a reused connection the worker runs a POST but first sends a stale <stale>
    Then the client receives 502
    And the POST ran once, and the response doesn't guarantee that it did not run
    And the worker is still in the worker directory

    Examples:
      | stale                                     |
      | 503 with Not-Run and another attempt's id |
      | 429 with Not-Run and another attempt's id |
      | 421 with another attempt's id             |
      | 503 with Not-Run and no id                |
      | 421 with no id                            |

  Scenario Outline: Unusual responses to a POST give the right status, and a POST that may have run isn't resent
    Given a gateway and a worker with persistent connections
    And a second worker that responds correctly
    When the first worker responds to a POST with <response>
    Then the client receives <status> <source>
    And the POST was sent <sent>, and the response is consistent with what the workers received
    And subsequent requests get their own complete responses

    Examples: complete responses of the worker itself
      | response                                               | status | source                | sent |
      | a 500 with a seal                                      | 500    | from the first worker | once |
      | a 404 with a seal                                      | 404    | from the first worker | once |
      | a 204                                                  | 204    | from the first worker | once |
      | a complete response with Connection: close             | 200    | from the first worker | once |
      | a complete response with Connection: close, then bytes | 200    | from the first worker | once |
      | a complete response and an extra one right after it    | 200    | from the first worker | once |
      | a complete response and an extra one a moment later    | 200    | from the first worker | once |
      | a complete response and non-HTTP bytes a moment later  | 200    | from the first worker | once |
      | a 103 and then a complete response                     | 200    | from the first worker | once |
      | a complete response in small pieces                    | 200    | from the first worker | once |
      | a complete response in chunks                          | 200    | from the first worker | once |

    Examples: rejections, so that another worker may run the request
      | response                                         | status | source                 | sent            |
      | a 503 with Not-Run                               | 200    | from the second worker | to both workers |
      | a 400 with Not-Run                               | 200    | from the second worker | to both workers |
      | a 429 with Not-Run and no Content-Length, closed | 200    | from the second worker | to both workers |
      | a 421                                            | 200    | from the second worker | to both workers |

    Examples: ambiguous responses, so that the request may have run
      | response                                 | status | source           | sent |
      | a 503 with a seal                        | 502    | from the gateway | once |
      | a 429 without Not-Run                    | 502    | from the gateway | once |
      | a 408 with a seal                        | 502    | from the gateway | once |
      | a 200 with Not-Run                       | 502    | from the gateway | once |
      | a 200 without a seal                     | 502    | from the gateway | once |
      | a 200 with two attempt ids               | 502    | from the gateway | once |
      | a 200 with a Content-Encoding            | 502    | from the gateway | once |
      | a 500 with another attempt's id          | 502    | from the gateway | once |
      | a truncated 500                          | 502    | from the gateway | once |
      | a truncated 200                          | 502    | from the gateway | once |
      | a truncated 503 with Not-Run             | 502    | from the gateway | once |
      | a truncated chunked body                 | 502    | from the gateway | once |
      | a body delimited by the connection's end | 502    | from the gateway | once |
      | an unknown Transfer-Encoding             | 502    | from the gateway | once |
      | two Content-Length headers               | 502    | from the gateway | once |
      | a 204 with a Content-Length and a body   | 502    | from the gateway | once |
      | a 304 with a Content-Length              | 502    | from the gateway | once |
      | an unsolicited 100                       | 502    | from the gateway | once |
      | a 101                                    | 502    | from the gateway | once |
      | an oversized head                        | 502    | from the gateway | once |

  Scenario: A HEAD response with a body doesn't affect subsequent requests
    Given a gateway and a worker with persistent connections
    When the worker responds to a HEAD with a body
    Then the HEAD response is 200 without a body
    And subsequent requests get their own complete responses

  Scenario Outline: After a connection reset a POST is treated as not sent only if no worker received any of it
    Given a gateway and a worker with persistent connections
    And a second worker that responds correctly
    When the first worker's connection is reset <moment>
    Then the client receives <status> <source>
    And the response is consistent with what the workers received

    Examples:
      | moment                       | status     | source                                |
      | before it is established     | 200        | from the second worker                |
      | as soon as it is established | 502 or 200 | from the gateway or the second worker |
      | while it is idle             | 200        | from the first worker                 |
      | at the first byte            | 502        | from the gateway                      |
      | during a long request body   | 502        | from the gateway                      |
      | after the request body       | 502        | from the gateway                      |
      | during the response head     | 502        | from the gateway                      |
      | during the response body     | 502        | from the gateway                      |

  Scenario Outline: A response sent before the end of a long request body reaches the client
    Given a gateway and a worker with persistent connections
    When the worker responds with <response> after the head of a long POST
    Then the client receives <status> from the <source>
    And the client's connection serves another request

    Examples:
      | response           | status | source       |
      | a 413 with a seal  | 413    | first worker |
      | a 503 with Not-Run | 503    | gateway      |

  Scenario: A request without an attempt id isn't forwarded, because no response could be matched to it
    Given a gateway and a worker with persistent connections
    When a client sends a POST without an attempt id
    Then the client receives 400 from the gateway
    And no worker received a POST

  Scenario: Unusual methods are forwarded, and a request that can't be forwarded doesn't count against any worker
    Given a gateway and a worker with persistent connections
    When a client sends a request with the method "PROPFIND"
    Then the worker received the method "PROPFIND"
    When a client sends a request with two Host headers
    Then the client receives 400 from the gateway
    And no worker is avoided

  Scenario: Resetting a connection with pipelined requests leaves nothing open
    Given a gateway and a worker with persistent connections
    And the first worker doesn't respond
    When a client pipelines a GET and a POST, and resets the connection
    Then no request is open or in flight
    And no worker received a POST

  Scenario: A client that leaves amid a large answer ends the worker's call
    Given a gateway and a worker with persistent connections
    When a client disconnects during a large response
    Then no request is open or in flight
    And the worker's connection is closed

  Scenario Outline: After a stall of the process nothing is sent once the deadline has passed
    Given a gateway and a worker with persistent connections
    And a second worker that responds correctly
    When the gateway stalls past the deadline <moment>
    Then nothing more is sent for the POST
    And the client receives <status>, or has disconnected

    Examples:
      | moment                                                 | status |
      | before a worker rejects the POST                       | 503    |
      | while a connection is being established                | 503    |
      | while a POST is unread and its client has disconnected | 503    |

  Scenario: Whatever fails, a request is sent to at most as many workers as its route allows attempts
    Given a gateway with workers that refuse, reset, are full, fail and don't respond, two of each
    When 60 GETs are sent, one after the other
    Then each GET reached at most 2 workers, and some reached that many

  Scenario: A keyed POST that is rejected after its client disconnected releases its key
    Given a gateway and a worker with persistent connections
    When the client of a keyed POST disconnects, and then the worker rejects it
    Then the key is released
    When the client of a keyed POST disconnects, and then the worker's connection is reset
    Then the key is still claimed

  Scenario Outline: A keyed POST is sent only while its claim is certain to outlast the key's window
    When a keyed POST is rejected <seconds> s after its key was claimed
    Then <count> workers received it, and its client receives 503
    And the key is released

    Examples:
      | seconds | count |
      | 1       | 2     |
      | 5       | 1     |

  Scenario Outline: An object read uses a connection of its own and accepts only its own response
    Given an object client and a worker that responds to a read with <response>
    And another worker that has the object
    When the object is read until the first worker has received a read
    Then the client has the object, and the first worker is <still> in the worker directory
    And no worker connection received two reads

    Examples:
      | response                                    | still |
      | a 503 with Not-Run and another attempt's id | still |
      | a 421 with another attempt's id             | still |
      | a 200 with another attempt's id             | still |
      | a 503 with Not-Run and no id                | still |
      | a 421 with no id                            | not   |
      | a large body that stalls                    | still |
      | a truncated large body                      | still |

  Scenario: A range past the end of an object is rejected by the gateway itself, without a worker's seal
    Given an object client and a worker that has the object
    When a range past the end of the object is read
    Then the read yields 416 without a seal
