Feature: Keyed and cached requests at the gateway

  Background:
    Given a gateway with the plan's routes "/safe/" and "/unsafe/"

  Scenario: A key runs once, and a retry gets the first run's response under its own id
    Given a worker "w1" that answers well
    When key "k1" is redeemed
    And key "k1" is redeemed
    Then the answer is 200 with the try's own id and "the bytes of the worker"
    And all workers together saw 1 request

  Scenario: A worker that didn't run it releases nothing, and the next one runs it under the same claim
    Given a worker "w1" that answers that it is full
    And a worker "w2" that answers well
    When key "k1" is redeemed
    And key "k1" is redeemed
    Then the answer is 200 with the try's own id and "the bytes of the worker"
    And its token was not taken back

  Scenario: After a lost response it isn't run again
    Given a worker "w1" that answers with a reset
    When key "k1" is redeemed
    Then the answer is 502
    When key "k1" is redeemed
    Then the answer is 409
    And all workers together saw 1 request

  Scenario: A key that nobody ran is free for the next attempt
    Given a worker "w1" that answers that it is full
    When key "k1" is redeemed
    Then the answer is 503 with Retry-After
    And its token was taken back

  Scenario: A run whose client has disconnected is completed, not cancelled
    Given a worker "w1" that stays silent
    When key "k1" is redeemed and its client leaves while the worker is silent
    Then its token was not taken back
    When key "k1" is redeemed
    Then the answer is 409

  Scenario: Without a key 400, without a key table 503, and nothing runs
    Given a worker "w1" that answers well
    When key "" is redeemed
    Then the answer is 400
    When nobody answers at the desk
    And key "k1" is redeemed
    Then the answer is 503 with Retry-After
    And all workers together saw 0 requests

  Scenario: A cached object comes with the attempt's own id, and the range is requested
    When a client gets "/cached/x" with the range "bytes=0-3"
    Then the answer is 200 with the try's own id and "an object"
    And "/cached/x" was asked for with the range "bytes=0-3"

  Scenario: When the rate is spent the response is 503 at once, with the time to retry after
    When the origin's rate is spent
    And a client gets "/cached/x" with the range "bytes=0-3"
    Then the answer is 503 with Retry-After
