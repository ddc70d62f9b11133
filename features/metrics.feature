Feature: Programs export metrics

  Scenario: Metrics are served in the text format, with current values at each scrape
    Given a metrics server with a count and a count by outcome
    When the metrics are scraped
    Then the count is 1 and 3 requests have the outcome "ok"
    When the count becomes 5 and the count by outcome becomes empty
    And the metrics are scraped
    Then the count is 5 and there are no requests by outcome

  Scenario: A count by label that is empty at the first scrape is served once it has values
    Given a metrics server with a count and an empty count by outcome
    When the metrics are scraped
    Then the count is 1 and there are no requests by outcome
    When 2 requests have ended with the outcome "ok"
    And the metrics are scraped
    Then the count is 1 and 2 requests have the outcome "ok"

  Scenario: Other paths are not found, and a port that is in use is not fatal
    Given a metrics server with a count and a count by outcome
    Then another path of the metrics server answers 404
    And a second server at the same port logs one warning and goes on

  Scenario: The bundled programs serve their metrics
    When a bundled controller and a bundled gateway are started and scraped
    Then each serves its resident memory and its configuration version

  Scenario Outline: An invalid metrics endpoint is refused in the settings
    Then the settings with the metrics endpoint "<endpoint>" are <verdict>

    Examples:
      | endpoint      | verdict  |
      | 9464/metrics  | accepted |
      | /metrics      | refused  |
      | 9464          | refused  |
      | 70000/metrics | refused  |

  Scenario: The event loop delay is the lateness of a timer
    Given the event loop delay is measured
    When the event loop is blocked for 700 ms
    Then the maximum delay is 450 ms or more, and is reset by being read
