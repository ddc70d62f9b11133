Feature: A large change is in force in time where nodes have thin links

  Links of 2 Mbit/s carry 250 KB a second. What a node spends on reading the change comes on top, so a second of the bound is left to it.

  Background:
    Given a controller with a link of 100 Mbit/s and 104 gateways with links of 2 Mbit/s

  @known-red
  Scenario: A change of many routes reaches every node in time
    When a change of 1840 routes is committed
    Then every gateway has the 1840 routes within 1500 ms

  @known-red
  Scenario: Nobody is cut off while a large change passes
    When a change of 8000 routes is committed
    Then no session and no relay is lost within 6000 ms
