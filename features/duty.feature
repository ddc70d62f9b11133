Feature: One signalbox at a time holds the duty, and terms fence the others

  Background:
    Given 4 signalboxes of which 3 are seeds
    And their duties are started

  Scenario: Exactly one box takes the duty, and the fourth box joins the roster
    When 3 seconds pass
    Then exactly 1 box holds the duty
    And the roster has 4 members everywhere

  Scenario: When the holder is cut off, another takes over with a higher term
    Given 3 seconds pass
    When the holder is cut off
    And 6 seconds pass
    Then another box holds the duty with a higher term
    And what the old holder writes under its term is refused

  Scenario: A holder that ends in order names its successor at once
    Given 3 seconds pass
    When the holder hands over
    Then another box holds the duty with a higher term

  Scenario: Silence alone never shrinks the roster
    Given 3 seconds pass
    When box 4 is killed
    And 30 seconds pass
    Then the roster has 4 members on the running boxes

  Scenario: No two boxes ever win the same term
    When the holder is cut off and joined again 6 times
    Then no term was ever held by two boxes

  Scenario: A box that was cut off leaves the duty where it is when it is joined again
    Given 3 seconds pass
    When a box that is not the holder is cut off for 8 seconds and joined again
    Then the same box holds the duty with the same term

  Scenario: Two machines are replaced for good, and one more loss leaves a majority
    Given 3 seconds pass
    And the operator puts route "r1" at version 7 through a running box
    When box 2 is gone for good and box 5 comes in its place
    Then the roster has boxes "1,3,4,5"
    When box 3 is gone for good and box 6 comes in its place
    Then the roster has boxes "1,4,5,6"
    When box 1 is killed
    And 3 seconds pass
    And the operator puts route "r2" at version 9 through a running box
    Then the change is acknowledged
    And reading through a running box gives route "r1" as it was put first

  Scenario: A member that was replaced while it was away comes back as a newcomer
    Given 3 seconds pass
    When box 2 is cut off
    And box 5 comes with an empty disk
    And 6 seconds pass
    Then the roster has box 5 and not box 2 on the boxes in reach
    When box 2 is joined again
    And 6 seconds pass
    Then the roster has boxes "1,2,3,4,5"
