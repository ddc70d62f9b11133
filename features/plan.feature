Feature: The plan's items are registers that merge upward and survive

  Background:
    Given 4 signalboxes of which 3 are seeds

  Scenario: A change is acknowledged once enough copies hold it on disk
    When the operator puts route "r1" at version 7 through box 1
    Then the change is acknowledged
    And at least 2 copies hold route "r1" at version 7 on their disks

  Scenario: A box cut off from the majority acknowledges nothing
    Given box 1 is cut off
    When the operator puts route "r1" at version 7 through box 1
    Then the change is not acknowledged

  Scenario: An older or equal version has no effect
    Given the operator puts route "r1" at version 9 through box 1
    When the operator puts route "r1" at version 8 through box 2
    And the operator puts another route "r1" at version 9 through box 3
    Then reading through box 2 gives route "r1" as it was put first

  Scenario: A drop stays a drop when an older change comes again
    Given the operator puts route "r1" at version 3 through box 1
    And the operator drops route "r1" at version 5 through box 2
    When the operator puts route "r1" at version 3 through box 3
    Then reading through box 1 gives no route "r1"

  Scenario: Two operators write the same version at once: one is confirmed, for good
    When two operators put different routes "r1" at version 4 through boxes 1 and 2 at once
    And both send the same again through box 3, 2 times
    Then exactly one of the two was ever confirmed, and never refused
    And reading through each box gives the same route "r1"
    And reading through box 2 gives route "r1" as it was put first

  Scenario: Another content under an agreed number is refused, and no part of that order is in force
    Given the operator puts route "r1" at version 9 through box 1
    When the operator puts routes "r1" and "r2" at version 9 through box 2
    Then the last order is "VERSION_CONFLICT"
    And no box has ever shown route "r2"
    And reading through box 3 gives route "r1" as it was put first

  Scenario: An invalid order that names an item twice is refused, and no part of it is in force
    When the operator puts route "r1" twice and route "r2" at version 9 through box 1, and "r2" is found wrong
    Then the last order is "INVALID_WRITE"
    And no box has ever shown route "r1"
    And no box has ever shown route "r2"

  Scenario: An order that was taken is acknowledged again, after newer ones, at any box, after every box was started again
    Given the operator puts route "r1" at version 5 through box 1
    And the operator puts route "r1" at version 8 through box 2
    And the operator puts route "r1" at version 6 through box 2
    When every box is killed
    And every box is started again
    Then the change to route "r1" at version 5 is acknowledged again through box 3
    And the change to route "r1" at version 6 is acknowledged again through box 1
    And reading through box 4 gives route "r1" at version 8

  Scenario: What no quorum took is not shown, and is either agreed as a whole or never in force
    When only box 1 has accepted route "r1" at version 7, offered through box 1
    Then the last order is "NO_QUORUM"
    And no box has ever shown route "r1"
    When someone reads through box 2
    Then reading through each box gives the same route "r1", or none

  Scenario: What was acknowledged survives the loss of one disk while all others lose power
    Given every box is on the roster
    And the operator puts route "r1" at version 7 through box 1
    When box 1 loses its disk and every box is started again
    Then reading through box 1 gives route "r1" as it was put first
    And reading through box 3 gives route "r1" as it was put first

  Scenario: A box that lost its disk counts for nothing until it has read a majority
    Given the operator puts route "r1" at version 7 through box 1
    When box 2 loses its disk and starts again cut off from all others
    Then box 2 is not counting
    And reading through box 2 fails

  Scenario: A read mends the copy that it finds old
    Given box 3 is cut off
    And the operator puts route "r1" at version 7 through box 1
    When box 3 is joined again
    And someone reads through box 3
    Then the copy of box 3 holds route "r1" at version 7

  Scenario: A box with a spoiled file counts for nothing until it has caught up
    Given the operator puts route "r1" at version 6 through box 1
    And the operator puts route "r1" at version 7 through box 1
    When one byte of the newest file of box 2 is spoiled
    And box 2 is started again cut off from all others
    Then box 2 is not counting
    And reading through box 2 fails
    When box 2 is joined again
    And someone reads through box 2
    Then the copy of box 2 holds route "r1" at version 7
    And reading through box 2 gives route "r1" at version 7

  Scenario: A box that was started again tells its listeners all that stands, also what its disk knew to be agreed
    Given the operator puts route "r1" at version 7 through box 1
    And box 2 has read a quorum and has written all it knows
    When every box is killed
    And every box is started again
    And someone reads through box 2
    Then the listeners of box 2 were told of route "r1"

  Scenario: A random history of changes, cuts and kills loses nothing that was acknowledged
    Given every box is on the roster
    When 120 random steps of changes, cuts, kills and disk losses are played with seed 11
    Then every acknowledged version is read back, or a higher one

  Scenario: Another random history
    Given every box is on the roster
    When 120 random steps of changes, cuts, kills and disk losses are played with seed 42
    Then every acknowledged version is read back, or a higher one
