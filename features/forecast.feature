Feature: Warning ahead of a service that nears what it can keep up with
  Seeded simulations: 20 nodes, 40 slots over 4 cells, calls of 200 ms, reports every 2 s.

  Scenario: A slow ramp is warned of well before the slots are all in use
    When 40 runs of a ramp from 40% to 110% over 120 s are played
    Then each warned before 100% was in use, the median at least 20 s ahead
    And none warned in the first 30 s

  Scenario: Workers that are lost one by one are warned of before the rest are full
    When 40 runs of a level of 50% are played while a worker is lost every 10 s from 40 s on
    Then each warned before 100% was in use, the median at least 20 s ahead

  Scenario: Workers that slow down are warned of
    When 40 runs of a level of 45% are played while calls take longer by 1% a second from 40 s on
    Then each warned before 100% was in use, the median at least 20 s ahead

  Scenario: Quiet and wavy days raise few false warnings
    When 40 runs of a level of 45% with waves of 15% every 11 s are played
    Then at most 2 of them warned
    When 40 runs of a level of 30% are played
    Then at most 0 of them warned

  Scenario: A step can't be foreseen, but is told as overrun within 6 s, and lifts step by step
    When a step from 40% to 130% and back after 40 s is played
    Then it is overrun within 6 s, then nearing, then steady

  Scenario: Too few nodes or too little traffic is unknown, and late or doubled reports add nothing
    Given a forecaster that hears 4 of 20 nodes
    Then its verdict is "unknown"
    When 20 nodes report a level of 50%, each report twice and out of order
    Then its verdict is "steady" with 50% in use

  Scenario: Only the holder watches
    Given a forecaster without the duty
    Then it publishes nothing under any load
