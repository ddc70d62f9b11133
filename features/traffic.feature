Feature: A request reaches a worker once, or safely again, and its answer is the worker's own

  Background:
    Given a gateway with the plan's routes "/safe/" and "/unsafe/"

  Scenario: Method, path, query, body and heads go through unchanged
    Given a worker "w1" that answers well
    When a client posts "an order" to "/unsafe/x?y=1"
    Then the answer is 200 with the worker's body, seal and mark
    And "w1" saw the same method, path, query and body, its own id expected, and less time left

  Scenario: The longest prefix wins and an unknown route is 404
    Given a worker "w1" that answers well
    When a client gets "/nowhere/x"
    Then the answer is 404

  Scenario: Without a plan the answer is 503 and never 404
    Given a gateway without a plan
    When a client gets "/safe/x"
    Then the answer is 503 with Retry-After

  Scenario: A gateway that lacks a configuration that it was told of rejects requests, until it has it
    Given a worker "w1" that answers well
    And the gateway lacks a configuration that it was told of
    When a client posts "an order" to "/unsafe/x"
    Then the answer is 503 with Retry-After
    And "w1" saw 0 requests
    When a client gets "/nowhere/x"
    Then the answer is 503 with Retry-After
    When the gateway gets that configuration
    And a client posts "an order" to "/unsafe/x"
    Then the answer is 200 with the worker's body, seal and mark

  Scenario Outline: A bad answer never reaches a client as a success
    Given a worker "w1" that answers <manner>
    When a client posts "an order" to "/unsafe/x"
    Then the answer is 502
    And "w1" saw 1 request

    Examples:
      | manner                        |
      | with a wrong id               |
      | without a seal                |
      | and breaks off                |
      | with no bytes of the protocol |
      | with a reset                  |

  Scenario Outline: A safe request is sent again to another worker
    Given a worker "w1" that answers <manner>
    And a worker "w2" that answers well
    When a client gets "/safe/x" until "w1" has been asked
    Then every answer was 200

    Examples:
      | manner                        |
      | with a wrong id               |
      | and breaks off                |
      | with no bytes of the protocol |
      | with a reset                  |
      | that it failed                |

  Scenario: An unsafe request that the worker turned away goes to another worker
    Given a worker "w1" that answers that it is full
    And a worker "w2" that answers well
    When a client posts "an order" to "/unsafe/x" until "w1" has been asked
    Then every answer was 200

  Scenario: A worker that is another one now is not asked again
    Given a worker "w1" that answers that it is another
    And a worker "w2" that answers well
    When a client posts "an order" to "/unsafe/x" until "w1" has been asked
    Then every answer was 200
    And "w1" is no longer known

  Scenario: All workers full is a promise, told at once and with Retry-After
    Given a worker "w1" that answers that it is full
    When a client posts "an order" to "/unsafe/x"
    Then the answer is 503 with Retry-After

  Scenario: An extra answer is never taken for the next request's
    Given a worker "w1" that answers well and sends an extra answer
    When a client gets "/safe/x" 6 times in a row
    Then every answer was 200
    And no answer holds the extra bytes

  Scenario: Nothing is promised once a request may have run
    Given a worker "w1" that stays silent
    When a client posts "an order" to "/unsafe/x" and its time runs out
    Then the answer is 504

  Scenario Outline: A client who leaves at the end of its patience is counted, one who leaves early is not
    Given a worker "w1" that stays silent
    And the plan splits "/unsafe/" over two services
    When a client posts "an order" to "/unsafe/x" and leaves after <ms> ms
    Then the rollout counts <counted>

    Examples:
      | ms   | counted |
      | 2400 | doubled |
      | 300  | nothing |

  Scenario: A safe request moves on from a worker that has fallen silent
    Given a worker "w1" that stays silent
    When a client gets "/safe/x" while "w2" joins and a second passes
    Then the answer is 200 with the worker's body, seal and mark

  Scenario: Bodies beyond the room of the process are refused, and the room comes back
    Given a worker "w1" that answers well
    When a client posts 100000 bytes to "/unsafe/x"
    Then the answer is 503 with Retry-After
    When a client posts 50000 bytes to "/unsafe/x"
    Then the answer is 200 with the worker's body, seal and mark
    When a client posts 50000 bytes to "/unsafe/x"
    Then the answer is 200 with the worker's body, seal and mark

  Scenario: An answer beyond the room flows on and comes whole
    Given a worker "w1" that answers well
    And worker "w1" has 900000 bytes to answer with
    When a client gets "/safe/x"
    Then the answer is 200 with all 900000 bytes

  Scenario: Requests sent without waiting are answered in their order
    Given a worker "w1" that answers well
    When a client sends 5 requests to "/safe/x" at once on one connection
    Then 5 answers come back in the order of their ids

  Scenario: A leaving gateway closes the connection with its answer
    Given a worker "w1" that answers well
    When the gateway begins to leave and a client gets "/safe/x"
    Then the answer is 200 and says that the connection closes

  Scenario: An oversized head is 431 and a malformed one is 400
    When a client sends a head that is too large
    Then the raw answer is 431
    When a client sends what is no request
    Then the raw answer is 400

  Scenario: A retry that the budget does not cover is not sent
    Given a worker "w1" that answers with a reset
    And a worker "w2" that answers with a reset
    And the retry budget is empty
    When a client gets "/safe/x"
    Then the answer is 502
    And the workers saw 1 request in all

  Scenario: Nothing was sent to a worker that can't be reached, so going on to another is no retry
    Given a worker "w1" that answers well
    And a worker "w2" that answers well
    And the retry budget is empty
    When "w1" is gone without a word and a client posts 8 orders to "/unsafe/x"
    Then every answer was 200
    And no retry was counted

  Scenario: The load generator sends at its moments and measures from them
    Given a worker "w1" that answers well
    When the load generator sends 10 requests a second for 2 seconds to "/safe/x"
    Then 20 outcomes of 200 are reported

  Scenario: The load generator does not wait for a target that stalls
    Given a worker "w1" that stays silent
    When the load generator sends 10 requests a second for 2 seconds to "/unsafe/x"
    Then 20 outcomes are reported, the slowest after its whole budget
