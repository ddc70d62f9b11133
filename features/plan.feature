Feature: The items of the configuration are registers with versions that only rise, and survive

  Background:
    Given 4 controllers of which 3 are seeds

  Scenario: A write is acknowledged once a quorum of replicas holds it on disk
    When the operator puts route "r1" at version 7 through controller 1
    Then the write is acknowledged
    And at least 2 replicas hold route "r1" at version 7 on their disks

  Scenario: A controller without a quorum acknowledges nothing
    Given controller 1 is partitioned
    When the operator puts route "r1" at version 7 through controller 1
    Then the write is not acknowledged

  Scenario: An older or equal version has no effect
    Given the operator puts route "r1" at version 9 through controller 1
    When the operator puts route "r1" at version 8 through controller 2
    And the operator puts another route "r1" at version 9 through controller 3
    Then reading through controller 2 gives route "r1" as it was put first

  Scenario: A removal stays a removal when an older write comes again
    Given the operator puts route "r1" at version 3 through controller 1
    And the operator removes route "r1" at version 5 through controller 2
    When the operator puts route "r1" at version 3 through controller 3
    Then reading through controller 1 gives no route "r1"

  Scenario: Two operators write the same version at once: one is confirmed, for good
    When two operators put different routes "r1" at version 4 through controllers 1 and 2 at once
    And both send the same again through controller 3, 2 times
    Then exactly one of the two was ever confirmed, and never rejected
    And reading through each controller gives the same route "r1"
    And reading through controller 2 gives route "r1" as it was put first

  Scenario: A write without a clear answer is in force as a whole or not at all
    When only controller 1 has accepted routes "e" and "h" at version 8
    And a rival of route "e" at version 8 is confirmed while controller 1 is partitioned
    And every controller has read
    Then neither or both of routes "e" and "h" stand as that write had them

  Scenario: The same, where the only controller that accepted it was restarted from its disk
    When only controller 1 has accepted routes "e" and "h" at version 8
    And controller 1 is killed and started again from its disk
    And a rival of route "e" at version 8 is confirmed while controller 1 is partitioned
    And every controller has read
    Then neither or both of routes "e" and "h" stand as that write had them

  Scenario: What was proposed together, and what was there before, outlasts a snapshot
    Given the operator puts route "h" at version 5 through controller 3
    When only controller 1 has accepted routes "e" and "h" at version 8
    Then a replica loaded from the snapshot of controller 1 gives the same snapshot, with a call of "e" and "h" and the earlier "h"

  Scenario: Where such a write is overruled, what was there before it stands again
    Given the operator puts route "h" at version 5 through controller 3
    When only controller 1 has accepted routes "e" and "h" at version 8
    And a rival of route "e" at version 8 is confirmed while controller 1 is partitioned
    And every controller has read
    Then neither or both of routes "e" and "h" stand as that write had them
    And reading through each controller gives route "h" at version 5

  Scenario: Two such writes on top of each other are overruled together
    Given the operator puts route "h" at version 5 through controller 3
    When only controller 1 has accepted routes "e" and "h" at version 7
    And only controller 1 has accepted routes "e" and "h" at version 8
    And a rival of route "e" at version 8 is confirmed while controller 1 is partitioned
    And every controller has read
    Then reading through each controller gives route "h" at version 5

  Scenario: A write on top of one item of a write without a clear answer brings all of it into force
    When only controller 1 has accepted routes "e" and "h" at version 8
    And the operator puts route "h" at version 9 through controller 2
    Then the write is acknowledged
    And reading through each controller gives route "e" at version 8
    And reading through each controller gives route "h" at version 9

  Scenario: Another content under a committed version is rejected, and no part of that write is in force
    Given the operator puts route "r1" at version 9 through controller 1
    When the operator puts routes "r1" and "r2" at version 9 through controller 2
    Then the last write is "VERSION_CONFLICT"
    And no controller has ever shown route "r2"
    And reading through controller 3 gives route "r1" as it was put first

  Scenario: An invalid write that names an item twice is rejected, and no part of it is in force
    When the operator puts route "r1" twice and route "r2" at version 9 through controller 1, and "r2" is found invalid
    Then the last write is "INVALID_WRITE"
    And no controller has ever shown route "r1"
    And no controller has ever shown route "r2"

  Scenario: A write that was confirmed is acknowledged again, after newer ones, at any controller, after every controller was restarted
    Given the operator puts route "r1" at version 5 through controller 1
    And the operator puts route "r1" at version 8 through controller 2
    And the operator puts route "r1" at version 6 through controller 2
    When every controller is killed
    And every controller is restarted
    Then the write of route "r1" at version 5 is acknowledged again through controller 3
    And the write of route "r1" at version 6 is acknowledged again through controller 1
    And reading through controller 4 gives route "r1" at version 8

  Scenario: What no quorum accepted is not shown, and is either committed as a whole or never in force
    When only controller 1 has accepted route "r1" at version 7, proposed through controller 1
    Then the last write is "NO_QUORUM"
    And no controller has ever shown route "r1"
    When a quorum is read through controller 2
    Then reading through each controller gives the same route "r1", or none

  Scenario: What was acknowledged survives the loss of one disk while all others lose power
    Given every controller is a voter
    And the operator puts route "r1" at version 7 through controller 1
    When controller 1 loses its disk and every controller is restarted
    Then reading through controller 1 gives route "r1" as it was put first
    And reading through controller 3 gives route "r1" as it was put first

  Scenario: A controller that lost its disk does not vote until it has caught up
    Given the operator puts route "r1" at version 7 through controller 1
    When controller 2 loses its disk and restarts without a connection to any other
    Then controller 2 is not voting
    And reading through controller 2 fails

  Scenario: A read repairs the replica that it finds outdated
    Given controller 3 is partitioned
    And the operator puts route "r1" at version 7 through controller 1
    When controller 3 is reconnected
    And a quorum is read through controller 3
    Then the replica of controller 3 holds route "r1" at version 7

  Scenario: A controller with a corrupted file does not vote until it has caught up
    Given the operator puts route "r1" at version 6 through controller 1
    And the operator puts route "r1" at version 7 through controller 1
    When one byte of the newest file of controller 2 is corrupted
    And controller 2 is restarted without a connection to any other
    Then controller 2 is not voting
    And reading through controller 2 fails
    When controller 2 is reconnected
    And a quorum is read through controller 2
    Then the replica of controller 2 holds route "r1" at version 7
    And reading through controller 2 gives route "r1" at version 7

  Scenario: A restarted controller notifies its listeners of all that is committed, also of what its disk held
    Given the operator puts route "r1" at version 7 through controller 1
    And controller 2 has read a quorum and has written all it knows
    When every controller is killed
    And every controller is restarted
    And a quorum is read through controller 2
    Then the listeners of controller 2 were notified of route "r1"

  Scenario: A random history of writes, partitions and kills loses nothing that was acknowledged
    Given every controller is a voter
    When 120 random steps of writes, partitions, kills and disk losses are played with seed 11
    Then every acknowledged version is read back, or a higher one

  Scenario: Another random history
    Given every controller is a voter
    When 120 random steps of writes, partitions, kills and disk losses are played with seed 42
    Then every acknowledged version is read back, or a higher one
