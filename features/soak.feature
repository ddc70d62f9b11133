Feature: The soak plays seeded schedules on real programs, and its checks find what they are there for

  Scenario: A short run of real programs under signals, restarts and changes shows nothing
    When the soak plays seed 3 for 20 seconds with 3 gateways
    Then no check finds anything
    And requests, runs, changes, readings and signals were recorded

  Scenario: A seed gives the same schedule again, and no fault in its quiet end
    Then seed 7 gives the same schedule twice and seed 8 another one
    And no fault of seeds 1 to 50 begins in the last 6 seconds

  Scenario: A history in which all is well violates nothing
    Given a recorded history
    Then each check finds nothing in it

  Scenario Outline: Each check finds its violation
    Given a recorded history
    When <defect>
    Then just the check "<check>" finds it

    Examples:
      | defect                                                      | check                  |
      | an unsafe request runs twice                                | runs-at-most-once      |
      | an unsafe request ran and its client got 503                | runs-at-most-once      |
      | a client gets the answer of another attempt                 | answers-belong         |
      | a success has no seal                                       | answers-belong         |
      | a request is run by the old service long after the change   | configuration-in-force |
      | a reading shows an older version than was acknowledged      | reads-are-current      |
      | a reading lacks a route that was acknowledged               | reads-are-current      |
      | a gateway that was told to end cuts off a request           | drains-cut-nothing     |
      | a process ends by itself                                    | exits-are-asked        |
      | a process takes too long to end                             | exits-are-asked        |

  Scenario: What the machine's own delay may have brought about is left out and counted
    Given a recorded history
    When a request is run by the old service long after the change
    And the machine itself was late at that time
    Then each check finds nothing in it, and 1 observation was left out
