Feature: Several nodes act as one system

  Background:
    Given 3 controllers and 5 gateways in 3 cells that start for the first time
    And an old and a new service with 3 workers each that send heartbeats
    And the operator's configuration with "r-unsafe" on the old service

  Scenario: The configuration and the workers reach every gateway, also those below a relay
    When every gateway is ready
    Then every gateway serves an order

  Scenario: A change through one controller is in force at every gateway
    Given every gateway is ready
    When the operator moves "r-unsafe" to the new service at version 2 through controller 3
    Then every gateway sends orders to the new service

  Scenario: Forwarding goes on with every controller dead
    Given every gateway is ready
    When every controller ends
    And 3 seconds pass on the clock
    Then every gateway serves an order

  Scenario: A draining worker gets nothing once that is acknowledged and has spread
    Given every gateway is ready
    When worker "old-1" says through controller 2 that it is draining
    And the updates have spread
    Then no gateway sends an order to "old-1"

  Scenario: A gateway that joins late gets the complete configuration
    Given every gateway is ready
    When a sixth gateway starts
    Then every gateway serves an order

  Scenario: A bad candidate is stopped over all nodes, with the lease holder ended in between
    Given every gateway is ready
    When the operator splits "r-unsafe" 50 to 50 over the old and the new service at version 2
    And the new service's workers lose the answers of orders
    And the lease holder ends in order
    And 40 orders are placed over all gateways
    Then within 6 seconds the new service is stopped on "r-unsafe"
    And every gateway sends orders to the old service only

  Scenario: The written retry limit is set at any controller, checked, told to operators, and survives the lease holder
    Given every gateway is ready
    When the retry limit of "unsafe" is set to 0.05 and 4 through each controller in turn
    Then it is taken each time
    And a limit above the deployment's is refused with one sentence
    When the lease holder ends in order
    And the old service's workers are full and orders are placed
    Then the retries shown stand under the limit of 0.05 and 4, with none left out
    And no order ran twice

  Scenario: A forecast of retired workers, asked of every gateway, moves no call
    Given every gateway is ready
    And 60 orders are placed over all gateways
    When the forecast of retiring "old-1" is asked of controller 2
    Then it names the share that was sent to "old-1", node by node and for the fleet
    And asking sent nothing to any worker and opened no connection
    And forecasts of what can't be are refused with one sentence each

  Scenario: A worker that sends heartbeats to a controller is told where its own cell's controller is
    When worker "old-2" of another cell sends a heartbeat to controller 1
    Then it is told to report to the controller of its own cell

  Scenario: A maintenance window passes over a cell while orders go on, and each order lands exactly once
    Given the operator's configuration with "r-unsafe" on the old service
    And every gateway is ready
    When a window of "c2" that opens in 25 s and lasts 15 s is planned through controller 1
    And orders go on at every ready gateway until the window is "open"
    Then the gateways of "c2" are not ready, and its workers have seen no order for 2 s or more
    When the workers and gateways of "c2" go dark
    And orders go on at every ready gateway for 8 s
    Then every order was answered well, and ran exactly once
