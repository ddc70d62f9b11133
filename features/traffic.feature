Feature: A request runs at most once unless it is safe to repeat, and its response is the worker's own

  Background:
    Given a gateway with the configured routes "/safe/" and "/unsafe/"

  Scenario: Method, path, query, body and headers are forwarded unchanged
    Given a worker "w1" that responds correctly
    When a client posts "an order" to "/unsafe/x?y=1"
    Then the response is 200 with the worker's body, seal and X-Mark header
    And "w1" received the same method, path, query and body, its own id as the expected worker, and no more time than the client had left

  Scenario: A path that matches no route is 404
    Given a worker "w1" that responds correctly
    When a client gets "/nowhere/x"
    Then the response is 404

  Scenario: Without a configuration the response is 503, never 404
    Given a gateway without a configuration
    When a client gets "/safe/x"
    Then the response is 503 with Retry-After

  Scenario: A gateway that lacks a configuration announced to it rejects requests until it has received it
    Given a worker "w1" that responds correctly
    And the gateway lacks a configuration that was announced to it
    When a client posts "an order" to "/unsafe/x"
    Then the response is 503 with Retry-After
    And "w1" received 0 requests
    When a client gets "/nowhere/x"
    Then the response is 503 with Retry-After
    When the gateway receives that configuration
    And a client posts "an order" to "/unsafe/x"
    Then the response is 200 with the worker's body, seal and X-Mark header

  Scenario Outline: An invalid worker response never reaches the client as a success
    Given a worker "w1" that <behavior>
    When a client posts "an order" to "/unsafe/x"
    Then the response is 502
    And "w1" received 1 request

    Examples:
      | behavior                       |
      | responds with a wrong id       |
      | responds without a seal        |
      | responds with a truncated body |
      | responds with non-HTTP bytes   |
      | resets the connection          |

  Scenario Outline: A safe request is retried on another worker
    Given a worker "w1" that <behavior>
    And a worker "w2" that responds correctly
    When a client gets "/safe/x" until "w1" has received a request
    Then every response was 200

    Examples:
      | behavior                       |
      | responds with a wrong id       |
      | responds with a truncated body |
      | responds with non-HTTP bytes   |
      | resets the connection          |
      | responds that it failed        |

  Scenario: An unsafe request that a worker rejected is sent to another worker
    Given a worker "w1" that responds that it is full
    And a worker "w2" that responds correctly
    When a client posts "an order" to "/unsafe/x" until "w1" has received a request
    Then every response was 200

  Scenario: A worker whose address now belongs to another worker gets no more requests
    Given a worker "w1" that responds that it is another worker
    And a worker "w2" that responds correctly
    When a client posts "an order" to "/unsafe/x" until "w1" has received a request
    Then every response was 200
    And "w1" is no longer in the worker directory

  Scenario: If all workers are full, the response is 503 with Retry-After, which guarantees that the request did not run
    Given a worker "w1" that responds that it is full
    When a client posts "an order" to "/unsafe/x"
    Then the response is 503 with Retry-After

  Scenario: An extra response is never used for the next request
    Given a worker "w1" that responds correctly and sends an extra response
    When a client gets "/safe/x" 6 times in a row
    Then every response was 200
    And no response contains the extra bytes

  Scenario: A request that may have run is never reported as not run
    Given a worker "w1" that doesn't respond
    When a client posts "an order" to "/unsafe/x" and its deadline passes
    Then the response is 504

  Scenario Outline: A client that disconnects close to its deadline is counted, one that disconnects early is not
    Given a worker "w1" that doesn't respond
    And the configuration splits "/unsafe/" between two services
    When a client posts "an order" to "/unsafe/x" and disconnects after <ms> ms
    Then the canary counts <outcome>

    Examples:
      | ms   | outcome |
      | 2400 | doubled |
      | 300  | nothing |

  Scenario: A safe request is sent to another worker when the first one becomes unresponsive
    Given a worker "w1" that doesn't respond
    When a client gets "/safe/x" and "w2" joins before the response
    Then the response is 200 with the worker's body, seal and X-Mark header

  Scenario: Request bodies beyond the buffer memory are rejected, and the memory is released
    Given a worker "w1" that responds correctly
    When a client posts 100000 bytes to "/unsafe/x"
    Then the response is 503 with Retry-After
    When a client posts 50000 bytes to "/unsafe/x"
    Then the response is 200 with the worker's body, seal and X-Mark header
    When a client posts 50000 bytes to "/unsafe/x"
    Then the response is 200 with the worker's body, seal and X-Mark header

  # Guards against a repeat that is refused as at work although its operation has ended.
  Scenario: A keyed response that is too large to be stored is sent whole, and its repeat is told to retry later
    Given a worker "w1" that responds correctly
    And worker "w1" has a response body of 900000 bytes
    When a client posts with the key "k"
    Then the response is 200 with all 900000 bytes
    When a client posts with the key "k"
    Then the response is 503 with Retry-After
    And all workers together received 1 request

  Scenario: A response larger than the buffer memory is streamed completely
    Given a worker "w1" that responds correctly
    And worker "w1" has a response body of 900000 bytes
    When a client gets "/safe/x"
    Then the response is 200 with all 900000 bytes

  Scenario: Pipelined requests are answered in order
    Given a worker "w1" that responds correctly
    When a client pipelines 5 requests to "/safe/x" on one connection
    Then 5 responses arrive in the order of their ids

  Scenario: A draining gateway closes the connection with its response
    Given a worker "w1" that responds correctly
    When the gateway starts draining and a client gets "/safe/x"
    Then the response is 200 with Connection: close

  Scenario: An oversized request head is 431 and a malformed one is 400
    When a client sends an oversized request head
    Then the raw response is 431
    When a client sends a malformed request
    Then the raw response is 400

  Scenario: A retry that exceeds the retry budget is not sent
    Given a worker "w1" that resets the connection
    And a worker "w2" that resets the connection
    And the retry budget is empty
    When a client gets "/safe/x"
    Then the response is 502
    And the workers received 1 request in total

  Scenario: Moving on from an unreachable worker is no retry, because nothing was sent to it
    Given a worker "w1" that responds correctly
    And a worker "w2" that responds correctly
    And the retry budget is empty
    When "w1" stops without notice and a client posts 8 requests to "/unsafe/x"
    Then every response was 200
    And no retry was counted

  Scenario: The load generator sends on schedule and measures from the scheduled times
    Given a worker "w1" that responds correctly
    When the load generator sends 10 requests per second for 2 seconds to "/safe/x"
    Then 20 outcomes of 200 are reported

  Scenario: The load generator does not wait for a stalled target
    Given a worker "w1" that doesn't respond
    When the load generator sends 10 requests per second for 2 seconds to "/unsafe/x"
    Then 20 outcomes are reported, the slowest after its whole time budget
