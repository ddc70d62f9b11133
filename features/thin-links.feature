Feature: A large change is in force in time where nodes have thin links

  Links of 2 Mbit/s carry 250 KB a second. What a node spends on reading the change comes on top, so a second of the bound is left to it.

  Scenario: A change of many routes reaches every node in time
    Given a controller with a link of 100 Mbit/s and 104 gateways with links of 2 Mbit/s
    When a change of 1840 routes is committed
    Then every gateway has the 1840 routes within 1500 ms

  Scenario: Nobody is cut off while a large change passes
    Given a controller with a link of 100 Mbit/s and 104 gateways with links of 2 Mbit/s
    When a change of 8000 routes is committed
    Then no session and no relay is lost within 6000 ms

  Scenario: Relays with several children keep them, and their own sessions, while a large change passes
    Given a controller with a link of 3 Mbit/s and 24 gateways with links of 2 Mbit/s
    When a change of 8000 routes is committed
    Then a relay has several children
    And no session and no relay is lost within 6000 ms
    And every gateway has the 8000 routes within 2000 ms

  Scenario: A gateway that was told of a change and doesn't get it knows that it is behind, until it has it
    Given a controller with a link of 3 Mbit/s and 24 gateways with links of 2 Mbit/s
    When a relay sends its children nothing but keep-alives
    And a change of 20 routes is committed
    And 1000 ms pass
    Then no gateway counts as behind
    When 1000 ms pass
    Then just the children of that relay and those below them count as behind
    When the relay sends again what it held back
    And 200 ms pass
    Then no gateway counts as behind
    And every gateway has the 20 routes within 0 ms

  Scenario: A gateway that is behind and loses its session goes on once it is out of touch
    Given a controller with a link of 3 Mbit/s and 24 gateways with links of 2 Mbit/s
    When a relay sends its children nothing but keep-alives
    And a change of 20 routes is committed
    And 2000 ms pass
    And the controller is gone
    And 2000 ms pass
    Then just the children of that relay and those below them count as behind
    When 4000 ms pass
    Then no gateway counts as behind
