Feature: At most one controller holds the leader lease, and terms fence off former holders

  Background:
    Given 4 controllers of which 3 are seeds
    And their leader leases are started

  Scenario: Exactly one controller acquires the leader lease, and the fourth controller becomes a voter
    When 3 seconds pass
    Then exactly 1 controller holds the leader lease
    And the voter set has 4 members on every running controller

  Scenario: When the holder is partitioned, another takes over with a higher term
    Given 3 seconds pass
    When the holder is partitioned
    And 6 seconds pass
    Then another controller holds the leader lease with a higher term
    And a write of the former holder under its old term is rejected

  Scenario: A holder that stops gracefully names its successor immediately
    Given 3 seconds pass
    When the holder steps down
    Then another controller holds the leader lease with a higher term

  Scenario: Being unreachable alone does not remove a controller from the voter set
    Given 3 seconds pass
    When controller 4 is killed
    And 30 seconds pass
    Then every running controller still has 4 members in its voter set

  Scenario: No two controllers ever win the same term
    When the holder is partitioned and reconnected 6 times
    Then no term was ever held by two controllers

  Scenario: A controller that reconnects after a partition does not take over the lease
    Given 3 seconds pass
    When a controller that is not the holder is partitioned for 8 seconds and reconnected
    Then the same controller holds the leader lease with the same term

  Scenario: After two machines have been replaced, the loss of one more leaves a majority
    Given 3 seconds pass
    And the operator puts route "r1" at version 7 through a running controller
    When controller 2 is permanently lost and controller 5 replaces it
    Then the voter set has controllers "1,3,4,5"
    When controller 3 is permanently lost and controller 6 replaces it
    Then the voter set has controllers "1,4,5,6"
    When controller 1 is killed
    And 3 seconds pass
    And the operator puts route "r2" at version 9 through a running controller
    Then the write is acknowledged
    And reading through a running controller returns route "r1" with its original content

  Scenario: A member that was replaced during a partition rejoins as a new replica
    Given 3 seconds pass
    When controller 2 is partitioned
    And controller 5 starts with an empty disk
    And 6 seconds pass
    Then the voter set has controller 5 and not controller 2 on the connected controllers
    When controller 2 is reconnected
    And 6 seconds pass
    Then the voter set has controllers "1,2,3,4,5"
