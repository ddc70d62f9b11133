Feature: Large configuration changes arrive in time over links of low bandwidth

  A link of 2 Mbit/s carries 250 KB per second. Processing the change at the node takes additional time, so one second of the bound is reserved for it.

  Scenario: A configuration change of many routes reaches every gateway in time
    Given a controller with a link of 100 Mbit/s and 104 gateways with links of 2 Mbit/s
    When a configuration change of 1840 routes is committed
    Then every gateway has the 1840 routes within 1500 ms

  Scenario: No node is disconnected while a large change is transferred
    Given a controller with a link of 100 Mbit/s and 104 gateways with links of 2 Mbit/s
    When a configuration change of 8000 routes is committed
    Then no node loses its session or its relay within 6000 ms

  Scenario: Relays with several children keep these and their own sessions while a large change is transferred
    Given a controller with a link of 3 Mbit/s and 24 gateways with links of 2 Mbit/s
    When a configuration change of 8000 routes is committed
    Then a relay has several children
    And no node loses its session or its relay within 6000 ms
    And every gateway has the 8000 routes within 2000 ms

  Scenario: A gateway that has been told of a change but has not received it reports that it is behind until it receives it
    Given a controller with a link of 3 Mbit/s and 24 gateways with links of 2 Mbit/s
    When a relay sends its children only keep-alives
    And a configuration change of 20 routes is committed
    And 1000 ms pass
    Then no gateway is behind
    When 1000 ms pass
    Then exactly the nodes below that relay are behind
    When the relay sends the messages that it held back
    And 200 ms pass
    Then no gateway is behind
    And every gateway has the 20 routes within 0 ms

  Scenario: A gateway that is behind and loses its session is no longer behind once announcements have expired
    Given a controller with a link of 3 Mbit/s and 24 gateways with links of 2 Mbit/s
    When a relay sends its children only keep-alives
    And a configuration change of 20 routes is committed
    And 2000 ms pass
    And the controller stops
    And 2000 ms pass
    Then exactly the nodes below that relay are behind
    When 4000 ms pass
    Then no gateway is behind
