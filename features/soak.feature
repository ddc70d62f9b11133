Feature: The soak test runs seeded schedules against real programs, and its checks detect violations

  Scenario: A short run of real programs under signals, restarts and changes has no violations
    When the soak test runs seed 3 for 20 seconds with 3 gateways
    Then no check reports a violation
    And requests, executions, changes, reads and faults were recorded

  Scenario: A schedule is reproducible from its seed and has no fault near its end
    Then seed 7 gives the same schedule twice and seed 8 a different one
    And no fault of seeds 1 to 50 begins in the last 6 seconds

  Scenario: A correct history violates no check
    Given a recorded history
    Then no check reports a violation of it

  Scenario Outline: Each check detects its violation
    Given a recorded history
    When <defect>
    Then only the check "<check>" reports a violation

    Examples:
      | defect                                                      | check                  |
      | an unsafe request is executed twice                         | runs-at-most-once      |
      | an unsafe request is executed and its client gets 503       | runs-at-most-once      |
      | a client gets the response to another attempt               | answers-belong         |
      | a 200 response has no seal                                  | answers-belong         |
      | a request is handled by the old service long after a change | configuration-in-force |
      | a read returns an older version than was acknowledged       | reads-are-current      |
      | a read lacks a route that was acknowledged                  | reads-are-current      |
      | a draining gateway aborts a request                         | drains-cut-nothing     |
      | a process exits unexpectedly                                | exits-are-asked        |
      | a process takes too long to exit                            | exits-are-asked        |
      | a keyed operation is executed again for a repeat            | keys-run-once          |
      | a keyed operation is executed and its client gets 503       | keys-run-once          |
      | a repeat gets another response than the first one           | repeats-agree          |
      | repeats of answered keys are refused as in progress         | answers-are-kept       |

  Scenario: Observations during a delay of the host machine are skipped and counted
    Given a recorded history
    When a request is handled by the old service long after a change
    And the host machine was delayed at that time
    Then no check reports a violation of it, and 1 observation was skipped
