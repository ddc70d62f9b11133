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
