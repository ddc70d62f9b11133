Feature: Client connections end after a response that says so, whatever the client sends

  # Guards against a draining node that serves a pipelining client until its process ends, and then cuts it off (LOST).
  Scenario Outline: A client that always has further requests open gets a last response when <what happens>
    Given a gateway whose worker responds one request at a time
    And a client that keeps 3 safe requests open on one connection
    When <what happens>
    And the worker responds to whatever it receives
    Then the client got 3 responses in order, of which only the last closes the connection
    And the worker received only 3 requests

    Examples:
      | what happens                |
      | the gateway starts draining |
      | the gateway's zone drains   |

  Scenario: A connection whose response has begun ends with the request after it
    Given a gateway whose worker responds one request at a time
    And a client that keeps 1 safe request open on one connection
    When the worker sends half of a large response
    And the gateway starts draining
    And the worker responds to whatever it receives
    Then the client got 2 responses in order, of which only the last closes the connection
    And the worker received only 2 requests

  # Guards against a draining node that takes a connection with unsent responses for idle and destroys it (LOST).
  Scenario: A client that reads slowly gets all its responses while the gateway drains
    Given a gateway whose worker responds with 250000 bytes
    And a client that requests 42 such responses on one connection and doesn't read them
    When the gateway drains and stops listening
    And the client reads
    Then the client got 42 complete responses and a regular end

  Scenario: An unreadable request doesn't cut the responses to those before it
    Given a gateway whose worker responds one request at a time
    And a client that keeps 2 safe requests open on one connection
    When the client sends bytes that are no request
    And the worker responds to whatever it receives
    Then the client got 2 responses in order, of which only the last closes the connection
    And the worker received only 2 requests

  Scenario: After its last response a gateway reads on until the client closes, for a bounded time
    Given a gateway whose worker responds one request at a time
    And a client that keeps 1 safe request open on one connection and never closes it
    When the gateway starts draining
    And the worker responds to the open request
    And the client goes on sending for 900 ms
    Then the client got its response and no reset
    When the client still sends 200 ms later
    Then the connection is closed and counted as cut for "linger"
    And the worker received only 1 request

  Scenario: What is open at the end of the grace period is cut and counted
    Given a gateway whose worker responds one request at a time
    And a client that keeps 1 safe request open on one connection
    When the gateway drains and stops listening
    And the grace period ends
    Then the connection is closed and counted as cut for "grace-period"
