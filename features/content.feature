Feature: Keyed and cached requests at the gateway

  Background:
    Given a gateway with the configured routes "/safe/" and "/unsafe/"

  Scenario: A keyed request runs once, and a retry gets the stored response under its own attempt id
    Given a worker "w1" that responds correctly
    When a client posts with the key "k1"
    And a client posts with the key "k1"
    Then the response is 200 with the attempt's own id and "the bytes of the worker"
    And all workers together received 1 request

  Scenario: A worker that did not run the request doesn't release its key, and the next one runs it under the same claim
    Given a worker "w1" that responds that it is full
    And a worker "w2" that responds correctly
    When a client posts with the key "k1"
    And a client posts with the key "k1"
    Then the response is 200 with the attempt's own id and "the bytes of the worker"
    And the claim was not released

  Scenario: A keyed request whose response was lost is not run again
    Given a worker "w1" that resets the connection
    When a client posts with the key "k1"
    Then the response is 502
    When a client posts with the key "k1"
    Then the response is 409
    And all workers together received 1 request

  Scenario: A key whose request did not run is free for the next attempt
    Given a worker "w1" that responds that it is full
    When a client posts with the key "k1"
    Then the response is 503 with Retry-After
    And the claim was released

  Scenario: A run whose client has disconnected keeps its claim
    Given a worker "w1" that doesn't respond
    When a client posts with the key "k1" and disconnects before the worker responds
    Then the claim was not released
    When a client posts with the key "k1"
    Then the response is 409

  Scenario: A missing key is 400, an unavailable key service is 503, and nothing runs
    Given a worker "w1" that responds correctly
    When a client posts with the key ""
    Then the response is 400
    When the key service doesn't respond
    And a client posts with the key "k1"
    Then the response is 503 with Retry-After
    And all workers together received 0 requests

  Scenario: A cached object is returned with the attempt's own id, and the range is requested
    When a client gets "/cached/x" with the range "bytes=0-3"
    Then the response is 200 with the attempt's own id and "an object"
    And "/cached/x" was requested with the range "bytes=0-3"

  Scenario: When the origin's rate limit is reached, the response is 503 with Retry-After
    When the origin's rate limit is reached
    And a client gets "/cached/x" with the range "bytes=0-3"
    Then the response is 503 with Retry-After
