Feature: News goes down a tree of relays that mends itself

  Background:
    Given a signalbox that feeds 4 and 9 pointsmen below it

  Scenario: More pointsmen than a node feeds are fed through relays
    Then some pointsmen are fed by a relay and none feeds more than 4
    When a fact is posted at the signalbox
    Then every pointsman holds it within 100 ms

  Scenario: When a relay dies its children get the news by another way in time
    When a relay with children dies without a word
    And a fact is posted at the signalbox
    Then every pointsman holds it within 2000 ms

  Scenario: When only the links below a relay break its children ask for another way
    When a relay with children no longer feeds them
    And a fact is posted at the signalbox
    Then every pointsman holds it within 2000 ms

  Scenario: With many pointsmen the tree grows deeper, and no relay feeds more than a few
    Given 60 pointsmen below the signalbox in all
    Then no relay feeds more than 8, and none is more than 3 deep
    When a fact is posted at the signalbox
    Then every pointsman holds it within 100 ms
    When a relay with relays below it dies without a word
    And a fact is posted at the signalbox
    Then every pointsman holds it within 2000 ms
    And the signalbox feeds 16 at most, and nobody hangs below itself

  Scenario: An older fact that comes late changes nothing
    When a fact is posted at the signalbox
    And the fact is posted again with a lower version
    Then every pointsman holds it within 100 ms

  Scenario: A pointsman goes on with what it has when the signalbox is gone
    When a fact is posted at the signalbox
    Then every pointsman holds it within 100 ms
    When the signalbox is gone for 5000 ms
    Then every pointsman holds it within 0 ms

  Scenario: A large plan arrives whole at every node, and what is fresh is told behind it
    When a plan of 1500 routes is posted at the signalbox
    And the signalbox tells that all purges so far are known
    Then every pointsman holds 1500 routes within 300 ms
    And every pointsman was told so after it held them

  Scenario: A node without a session doesn't spend its looks on signalboxes long gone
    Given 3 signalboxes that are told of and 6 that are only seeds, none of which takes anyone
    When a node has looked for one 13 times
    Then at most 5 of the looks went to those that are only seeds
