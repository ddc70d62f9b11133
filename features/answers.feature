Feature: What comes back from a worker means something only if it is this try's own
  Every answer carries its try's id. Without it nothing is concluded: the request may have run.

  Scenario Outline: A late promise for another try, on a kept connection, promises nothing for this one
    Given a front and a worker that keeps its connections
    And another worker that answers well
    When on a kept connection the worker runs an order and a late <late> comes first
    Then the order's caller is told 502
    And the order ran once, and no promise was given for it
    And the worker is still known

    Examples:
      | late                                    |
      | 503 with Not-Run and another try's id   |
      | 429 with Not-Run and another try's id   |
      | 421 with another try's id               |
      | 503 with Not-Run and no id              |
      | 421 with no id                          |
