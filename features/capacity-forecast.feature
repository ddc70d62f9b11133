Feature: The capacity forecast warns before a service reaches its capacity
  Seeded simulations: 20 nodes, 40 slots over 4 zones, calls of 200 ms, reports every 2 s.

  Scenario: A slow load ramp raises a warning well before the service is saturated
    When 40 runs with a load ramp from 40% to 110% over 120 s are simulated
    Then each run warned before 100% utilization, with a median lead time of at least 20 s
    And no run warned in the first 30 s

  Scenario: A gradual loss of workers raises a warning before the remaining ones are saturated
    When 40 runs with a load of 50% are simulated while a worker is lost every 10 s from 40 s on
    Then each run warned before 100% utilization, with a median lead time of at least 20 s

  Scenario: A rise in latency raises a warning
    When 40 runs with a load of 45% are simulated while calls slow down by 1% per second from 40 s on
    Then each run warned before 100% utilization, with a median lead time of at least 20 s

  Scenario: Constant and oscillating loads raise few false warnings
    When 40 runs with a load of 45% that oscillates by 15% every 11 s are simulated
    Then at most 2 runs warned
    When 40 runs with a load of 30% are simulated
    Then at most 0 runs warned

  Scenario: A load step cannot be predicted, but counts as overrun within 6 s and recovers in stages
    When a load step from 40% to 130% and back after 40 s is simulated
    Then the state becomes overrun within 6 s, then nearing, then steady

  Scenario: The state is unknown without enough reports, and late or duplicate reports are ignored
    Given a forecaster that receives reports from 4 of 20 nodes
    Then the capacity state is "unknown"
    When 20 nodes report a load of 50%, each report twice and out of order
    Then the capacity state is "steady" at a utilization of 50%

  Scenario: Only the leader publishes forecasts
    Given a forecaster without the leader lease
    Then it publishes nothing under overload until it acquires the leader lease
