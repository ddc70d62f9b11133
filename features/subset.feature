Feature: Each node sends to a small, stable subset of a service's workers, and load stays even over all workers

  Scenario Outline: Subsets are bounded, cover every worker, and are even
    Given <nodes> nodes and <workers> workers over 7 cells
    Then each node sends to at most <most> workers, those of its own cell first
    And each worker is near for at least 2 nodes, and for at most 2.5 times as many as on average
    And a worker that comes or goes changes at most one place of each list, and a node more or less changes none

    Examples:
      | nodes | workers | most |
      | 200   | 147     | 12   |
      | 200   | 399     | 22   |
      | 3003  | 1050    | 12   |

  Scenario: Where a service has few workers every node uses all of them
    Given 14 nodes and 14 workers over 7 cells
    Then each node sends to all 14 workers

  Scenario: The work for a choice does not grow with the number of workers
    Given 28 nodes and 126 workers over 7 cells
    When the clock is read by 500 choices
    And there are 16 times as many nodes and workers
    Then 500 choices read the clock at most 1.2 times as often

  Scenario: With hundreds of workers hardly a request waits behind others, and the busiest worker isn't far from the mean
    Given a fleet of 7 cells with 28 nodes and 57 workers each, 70% of all slots in use
    When it runs for 20 seconds
    Then at least 95% of the calls are answered within 600 ms
    And at most 0.1% of the calls are reset by a full worker
    And no worker has more than 1.6 times the calls of the mean

  Scenario: Load stays even after workers come and go
    Given a fleet of 2 cells with 28 nodes and 21 workers each, 60% of all slots in use
    When it runs for 10 seconds
    And 6 workers go and 6 others come
    And it runs for 20 seconds
    Then no worker that was there all the time has more than 1.6 times the calls of the mean
    And no call is sent to a worker after it went

  Scenario: A worker five times slower loses calls, and gets them back when it is well
    Given a fleet of 2 cells with 28 nodes and 21 workers each, 60% of all slots in use
    When it runs for 10 seconds
    And a sixth of the workers turn 5 times slower
    And it runs for 8 seconds
    Then the slow workers get at most 45% of the calls that the others get
    When they are well again
    And it runs for 20 seconds
    Then they get at least 60% of the calls that the others get

  Scenario: A call that waits long tells of its worker before its answer does
    Given a worker whose calls usually take 100 ms
    When a call to it has been waiting for 900 ms
    Then another call to it is expected to take at least 900 ms
