Feature: Updates are distributed through a tree of relays that repairs itself

  Background:
    Given a controller with a fan-out of 4, and 9 gateways below it

  Scenario: More gateways than the controller feeds directly are fed through relays
    Then some gateways are fed by a relay and no node feeds more than 4
    When an update is published at the controller
    Then every gateway holds the update within 100 ms

  Scenario: When a relay crashes, its children get the updates through another node in time
    When a relay with children crashes
    And an update is published at the controller
    Then every gateway holds the update within 2000 ms

  Scenario: When only the connections from a relay to its children break, the children find another parent
    When a relay with children no longer feeds them
    And an update is published at the controller
    Then every gateway holds the update within 2000 ms

  Scenario: With many gateways the tree grows deeper, and no relay feeds more than a few
    Given 60 gateways below the controller in total
    Then no relay feeds more than 8 nodes, and none is more than 3 levels deep
    When an update is published at the controller
    Then every gateway holds the update within 100 ms
    When a relay with relays below it crashes
    And an update is published at the controller
    Then every gateway holds the update within 2000 ms
    And the controller feeds at most 16 nodes, and no node is below itself

  Scenario: An older update that arrives late changes nothing
    When an update is published at the controller
    And the update is published again with a lower version
    Then every gateway holds the update within 100 ms

  Scenario: A gateway keeps the updates that it holds when the controller is down
    When an update is published at the controller
    Then every gateway holds the update within 100 ms
    When the controller is down for 5000 ms
    Then every gateway holds the update within 0 ms

  Scenario: A large configuration reaches every node completely, and a freshness message arrives after it
    When a configuration of 1500 routes is published at the controller
    And the controller announces that all purges so far are known
    Then every gateway holds 1500 routes within 300 ms
    And every gateway received the announcement after it held the routes

  Scenario: A node without a session makes few connection attempts to controllers that are only listed as seeds
    Given 3 announced controllers and 6 that are only listed as seeds, none of which accepts nodes
    When a node has made 13 attempts to connect to a controller
    Then at most 5 of the attempts went to controllers that are only listed as seeds
