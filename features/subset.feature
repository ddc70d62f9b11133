Feature: Each node sends to a small, stable subset of a service's workers, and load stays balanced over all workers

  Scenario Outline: Subsets are bounded, cover every worker and are balanced
    Given <nodes> nodes and <workers> workers over 7 zones
    Then each node's subset has at most <most> workers, at least 6 of them in the node's own zone
    And each worker is local to at least 2 nodes, and to at most 2.5 times the mean number of nodes
    And adding or removing a worker changes at most one entry of each list, and removing a node changes none

    Examples:
      | nodes | workers | most |
      | 200   | 147     | 12   |
      | 200   | 399     | 22   |
      | 3003  | 1050    | 12   |

  Scenario: If a service has few workers, every node uses all of them
    Given 14 nodes and 14 workers over 7 zones
    Then each node's subset has all 14 workers

  Scenario: The cost of choosing a worker does not grow with the number of workers
    Given 28 nodes and 126 workers over 7 zones
    When the clock reads of 500 choices are counted
    And there are 16 times as many nodes and workers
    Then 500 choices read the clock at most 1.2 times as often

  Scenario: With hundreds of workers few requests queue, and the busiest worker is close to the mean
    Given a fleet of 7 zones with 28 nodes and 57 workers each, 70% of all slots in use
    When the fleet runs for 20 seconds
    Then at least 95% of the calls are answered within 600 ms
    And at most 0.1% of the calls are reset by a full worker
    And no worker has more than 1.6 times the mean number of calls

  Scenario: Load stays balanced after workers are replaced
    Given a fleet of 2 zones with 28 nodes and 21 workers each, 60% of all slots in use
    When the fleet runs for 10 seconds
    And 6 workers leave and 6 others join
    And the fleet runs for 20 seconds
    Then no worker present throughout has more than 1.6 times the mean number of calls
    And no call is sent to a worker after it left

  Scenario: A worker that becomes five times slower gets fewer calls until it recovers
    Given a fleet of 2 zones with 28 nodes and 21 workers each, 60% of all slots in use
    When the fleet runs for 10 seconds
    And a sixth of the workers become 5 times slower
    And the fleet runs for 8 seconds
    Then the slow workers get at most 45% of the calls of the others on average
    When the slow workers recover
    And the fleet runs for 20 seconds
    Then the recovered workers get at least 60% of the calls of the others on average

  Scenario: A long call raises the expected latency of its worker before it is answered
    Given a worker whose calls usually take 100 ms
    When a call to it has been in progress for 900 ms
    Then another call to it is expected to take at least 900 ms
