Feature: Configuration items are registers whose versions only increase and which survive failures

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

  Scenario: A write with an older or equal version has no effect
    Given the operator puts route "r1" at version 9 through controller 1
    When the operator puts route "r1" at version 8 through controller 2
    And the operator puts different content for route "r1" at version 9 through controller 3
    Then reading through controller 2 returns route "r1" with its original content

  Scenario: An older write that arrives again does not undo a removal
    Given the operator puts route "r1" at version 3 through controller 1
    And the operator removes route "r1" at version 5 through controller 2
    When the operator puts route "r1" at version 3 through controller 3
    Then reading through controller 1 shows that route "r1" is removed

  Scenario: Of two concurrent writes of the same version, exactly one is confirmed and stays so
    When two operators put different routes "r1" at version 4 through controllers 1 and 2 at once
    And both resend the same writes through controller 3, 2 times
    Then exactly one of the two writes was ever confirmed, and that one was never rejected
    And reading through each controller returns the same route "r1"
    And reading through controller 2 returns route "r1" with its original content

  Scenario: A write whose outcome is unknown takes effect as a whole or not at all
    When only controller 1 has accepted routes "e" and "h" at version 8
    And a conflicting write of route "e" at version 8 is confirmed while controller 1 is partitioned
    And every controller has read a quorum
    Then either both or neither of routes "e" and "h" have the content of that write

  Scenario: A write whose outcome is unknown takes effect as a whole or not at all after a restart of the only controller that accepted it
    When only controller 1 has accepted routes "e" and "h" at version 8
    And controller 1 is killed and restarted from its disk
    And a conflicting write of route "e" at version 8 is confirmed while controller 1 is partitioned
    And every controller has read a quorum
    Then either both or neither of routes "e" and "h" have the content of that write

  Scenario: A snapshot keeps which items were proposed together, and their earlier values
    Given the operator puts route "h" at version 5 through controller 3
    When only controller 1 has accepted routes "e" and "h" at version 8
    Then a replica loaded from the snapshot of controller 1 produces the same snapshot, which lists "e" and "h" as proposed together and an earlier "h"

  Scenario: When a write whose outcome is unknown is overridden, the earlier values are restored
    Given the operator puts route "h" at version 5 through controller 3
    When only controller 1 has accepted routes "e" and "h" at version 8
    And a conflicting write of route "e" at version 8 is confirmed while controller 1 is partitioned
    And every controller has read a quorum
    Then either both or neither of routes "e" and "h" have the content of that write
    And reading through each controller returns route "h" at version 5

  Scenario: Two consecutive writes whose outcome is unknown are overridden together
    Given the operator puts route "h" at version 5 through controller 3
    When only controller 1 has accepted routes "e" and "h" at version 7
    And only controller 1 has accepted routes "e" and "h" at version 8
    And a conflicting write of route "e" at version 8 is confirmed while controller 1 is partitioned
    And every controller has read a quorum
    Then reading through each controller returns route "h" at version 5

  Scenario: A newer write of one item commits all items of the earlier write whose outcome is unknown
    When only controller 1 has accepted routes "e" and "h" at version 8
    And the operator puts route "h" at version 9 through controller 2
    Then the write is acknowledged
    And reading through each controller returns route "e" at version 8
    And reading through each controller returns route "h" at version 9

  Scenario: Different content under a committed version is rejected, and no part of that write takes effect
    Given the operator puts route "r1" at version 9 through controller 1
    When the operator puts routes "r1" and "r2" at version 9 through controller 2
    Then the outcome of the last write is "VERSION_CONFLICT"
    And no controller shows route "r2"
    And reading through controller 3 returns route "r1" with its original content

  Scenario: An invalid write that contains an item twice is rejected, and no part of it takes effect
    When the operator puts route "r1" twice and route "r2" at version 9 through controller 1, and "r2" fails validation
    Then the outcome of the last write is "INVALID_WRITE"
    And no controller shows route "r1"
    And no controller shows route "r2"

  Scenario: Any controller acknowledges a confirmed write again, even after newer writes and a restart of every controller
    Given the operator puts route "r1" at version 5 through controller 1
    And the operator puts route "r1" at version 8 through controller 2
    And the operator puts route "r1" at version 6 through controller 2
    When every controller is killed
    And every controller is restarted
    Then the write of route "r1" at version 5 is acknowledged again through controller 3
    And the write of route "r1" at version 6 is acknowledged again through controller 1
    And reading through controller 4 returns route "r1" at version 8

  Scenario: A write that no quorum accepted is not shown, and is later committed everywhere or nowhere
    When only controller 1 has accepted route "r1" at version 7, proposed through controller 1
    Then the outcome of the last write is "NO_QUORUM"
    And no controller shows route "r1"
    When a quorum is read through controller 2
    Then reading through each controller returns the same route "r1", or none

  Scenario: An acknowledged write survives the loss of one disk while all controllers restart
    Given every controller is a voter
    And the operator puts route "r1" at version 7 through controller 1
    When controller 1 loses its disk and every controller is restarted
    Then reading through controller 1 returns route "r1" with its original content
    And reading through controller 3 returns route "r1" with its original content

  Scenario: A controller that lost its disk does not vote until it has caught up
    Given the operator puts route "r1" at version 7 through controller 1
    When controller 2 loses its disk and restarts without a connection to the others
    Then controller 2 is not voting
    And reading through controller 2 fails

  Scenario: A read repairs an outdated replica
    Given controller 3 is partitioned
    And the operator puts route "r1" at version 7 through controller 1
    When controller 3 is reconnected
    And a quorum is read through controller 3
    Then the replica of controller 3 holds route "r1" at version 7

  Scenario: A controller with a corrupted file does not vote until it has caught up
    Given the operator puts route "r1" at version 6 through controller 1
    And the operator puts route "r1" at version 7 through controller 1
    When one byte of the newest file of controller 2 is corrupted
    And controller 2 is restarted without a connection to the others
    Then controller 2 is not voting
    And reading through controller 2 fails
    When controller 2 is reconnected
    And a quorum is read through controller 2
    Then the replica of controller 2 holds route "r1" at version 7
    And reading through controller 2 returns route "r1" at version 7

  Scenario: A restarted controller notifies its listeners of all committed items, including those on its disk
    Given the operator puts route "r1" at version 7 through controller 1
    And controller 2 has read a quorum and has written a snapshot
    When every controller is killed
    And every controller is restarted
    And a quorum is read through controller 2
    Then the listeners of controller 2 were notified of route "r1"

  Scenario: Random writes, partitions and kills lose no acknowledged write
    Given every controller is a voter
    When 120 random steps of writes, partitions, kills and disk losses are run with seed 11
    Then every acknowledged version is read back, or a higher one

  Scenario: Random writes, partitions and kills with another seed lose no acknowledged write
    Given every controller is a voter
    When 120 random steps of writes, partitions, kills and disk losses are run with seed 42
    Then every acknowledged version is read back, or a higher one
