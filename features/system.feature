Feature: Several nodes act as one system

  Background:
    Given 3 signalboxes and 5 pointsmen in 3 cells that start for the first time
    And an old and a new service with 3 workers each that beat
    And the operator's plan with "r-unsafe" on the old service

  Scenario: The plan and the workers reach every pointsman, also those below a relay
    When every pointsman is ready
    Then every pointsman serves an order

  Scenario: A change through one signalbox is in force at every pointsman
    Given every pointsman is ready
    When the operator moves "r-unsafe" to the new service at version 2 through box 3
    Then every pointsman sends orders to the new service

  Scenario: Forwarding goes on with every signalbox dead
    Given every pointsman is ready
    When every signalbox ends
    And 3 seconds pass on the clock
    Then every pointsman serves an order

  Scenario: A draining worker gets nothing once that is acknowledged and has spread
    Given every pointsman is ready
    When worker "old-1" says through box 2 that it is draining
    And the news has spread
    Then no pointsman sends an order to "old-1"

  Scenario: A pointsman that joins late gets the whole plan
    Given every pointsman is ready
    When a sixth pointsman starts
    Then every pointsman serves an order

  Scenario: A bad candidate is stopped over all nodes, with the holder ended in between
    Given every pointsman is ready
    When the operator splits "r-unsafe" 50 to 50 over the old and the new service at version 2
    And the new service's workers lose the answers of orders
    And the holder of the duty ends in order
    And 40 orders are placed over all pointsmen
    Then within 6 seconds the new service is stopped on "r-unsafe"
    And every pointsman sends orders to the old service only

  Scenario: The written retry limit is set at any signalbox, checked, told to operators, and survives the duty's holder
    Given every pointsman is ready
    When the retry limit of "unsafe" is set to 0.05 and 4 through each signalbox in turn
    Then it is taken each time
    And a limit above the deployment's is refused with one sentence
    When the holder of the duty ends in order
    And the old service's workers are full and orders are placed
    Then the retries shown stand under the limit of 0.05 and 4, with none left out
    And no order ran twice

  Scenario: A forecast of retired workers, asked of every pointsman, moves no call
    Given every pointsman is ready
    And 60 orders are placed over all pointsmen
    When the forecast of retiring "old-1" is asked of box 2
    Then it names the share that was sent to "old-1", node by node and for the fleet
    And asking sent nothing to any worker and opened no connection
    And forecasts of what can't be are refused with one sentence each

  Scenario: A worker that beats at a signalbox is told where its own cell's signalbox is
    When worker "old-2" of another cell beats at box 1
    Then it is told to report to the signalbox of its own cell

  Scenario: A planned window passes over a cell while orders go on, and each order lands exactly once
    Given the operator's plan with "r-unsafe" on the old service
    And every pointsman is ready
    When a window of "c2" that opens in 25 s and lasts 15 s is planned through box 1
    And orders go on at every ready pointsman until the window is "open"
    Then the pointsmen of "c2" are not ready, and its workers have seen no order for 2 s or more
    When the workers and pointsmen of "c2" go dark
    And orders go on at every ready pointsman for 8 s
    Then every order was answered well, and ran exactly once
