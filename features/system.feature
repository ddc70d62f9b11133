Feature: Controllers and gateways work as one system

  Background:
    Given 3 controllers and 5 gateways in 3 zones in their first run
    And an old and a new service with 3 workers each that send heartbeats
    And the operator's configuration with "r-unsafe" on the old service

  Scenario: The configuration and the workers reach every gateway, including those behind a relay
    When every gateway is ready
    Then every gateway serves a request

  Scenario: A change through one controller takes effect at every gateway
    Given every gateway is ready
    When the operator moves "r-unsafe" to the new service at version 2 through controller 3
    Then every gateway sends requests to the new service

  Scenario: Gateways keep forwarding when no controller is running
    Given every gateway is ready
    When every controller is stopped
    And 3 seconds pass on the clock
    Then every gateway serves a request

  Scenario: A draining worker gets no request once its heartbeat is acknowledged and distributed
    Given every gateway is ready
    When worker "old-1" reports to controller 2 that it is draining
    And the updates have been distributed
    Then no gateway sends a request to "old-1"

  Scenario: A gateway that joins late gets the complete configuration
    Given every gateway is ready
    When a sixth gateway starts
    Then every gateway serves a request

  Scenario: A failing candidate is stopped at all gateways despite a change of the lease holder
    Given every gateway is ready
    When the operator splits "r-unsafe" 50 to 50 between the old and the new service at version 2
    And the new service's workers reset connections instead of responding
    And the holder of the leader lease is stopped gracefully
    And 40 requests are sent across all gateways
    Then within 6 seconds the new service is stopped on "r-unsafe"
    And every gateway sends requests to the old service only

  Scenario: A retry limit can be set at any controller, is validated, reported, and survives a change of the lease holder
    Given every gateway is ready
    When the retry limit of "unsafe" is set to 0.05 and 4 through each controller in turn
    Then every controller accepts it
    And a limit above the deployment's is refused with a reason, and one for an unknown service is refused
    When the holder of the leader lease is stopped gracefully
    And the old service's workers are at capacity and requests are sent
    Then the reported retries are within the limit of 0.05 and 4, and include every node
    And no request was executed twice

  Scenario: A forecast of retired workers covers every gateway and causes no traffic
    Given every gateway is ready
    And 60 requests are sent across all gateways
    When the forecast of retiring "old-1" is requested from controller 2
    Then it gives the share of requests sent to "old-1", per node and for the fleet
    And the forecast sent no request to a worker and opened no connection
    And invalid forecasts are refused with a reason each

  Scenario: A worker is redirected to the controller of its own zone
    When worker "old-2" of another zone sends a heartbeat to controller 1
    Then it is told to report to the controller of its own zone

  Scenario: During a maintenance window of a zone every request is executed exactly once
    Given the operator's configuration with "r-unsafe" on the old service
    And every gateway is ready
    When a maintenance window of zone "c2" in 25 s for 15 s is scheduled at controller 1
    And requests are sent to every ready gateway until the window is "open"
    Then the gateways of zone "c2" are not ready, and its workers have got no request for 2 s or more
    When the workers and gateways of zone "c2" are stopped
    And requests are sent to every ready gateway for 8 s
    Then every request was answered with 200 and executed exactly once
