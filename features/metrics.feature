Feature: Programs tell their own figures

  Scenario: Figures are given in the text format, fresh at each reading, and the library is loaded only then
    Given a metrics server with a count and a count by outcome
    When the metrics are read
    Then they say that the count is 1 and that 3 requests ended "ok"
    When the count becomes 5 and no request is counted any more
    And the metrics are read
    Then they say that the count is 5 and nothing of requests

  Scenario: Another path is unknown, and a port that is taken stops nothing
    Given a metrics server with a count and a count by outcome
    Then another path of it answers 404
    And a second server at the same port says so in one warning and goes on

  Scenario Outline: An endpoint that can't be is refused in the settings
    Then the settings with the metrics endpoint "<endpoint>" are <verdict>

    Examples:
      | endpoint      | verdict |
      | 9464/metrics  | taken   |
      | /metrics      | refused |
      | 9464          | refused |
      | 70000/metrics | refused |

  Scenario: The delay of the event loop is how late a timer fired
    Given the delay of the event loop is measured
    When the loop stands still for 700 ms
    Then the longest delay is 450 ms or more, and the next reading begins anew
