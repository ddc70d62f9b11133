Feature: One signalbox at a time holds the duty, and epochs fence the others

  Background:
    Given 4 signalboxes of which 3 are seeds
    And their duties are started

  Scenario: Exactly one box takes the duty, and the fourth box joins the roster
    When 3 seconds pass
    Then exactly 1 box holds the duty
    And the roster has 4 members everywhere

  Scenario: When the holder is cut off, another takes over with a higher epoch
    Given 3 seconds pass
    When the holder is cut off
    And 6 seconds pass
    Then another box holds the duty with a higher epoch
    And what the old holder writes under its epoch is refused

  Scenario: A holder that ends in order names its successor at once
    Given 3 seconds pass
    When the holder hands over
    Then another box holds the duty with a higher epoch

  Scenario: Silence alone never shrinks the roster
    Given 3 seconds pass
    When box 4 is killed
    And 30 seconds pass
    Then the roster has 4 members on the running boxes

  Scenario: No two boxes ever win the same epoch
    When the holder is cut off and joined again 6 times
    Then no epoch was ever held by two boxes

  Scenario: A box that was cut off leaves the duty where it is when it is joined again
    Given 3 seconds pass
    When a box that is not the holder is cut off for 8 seconds and joined again
    Then the same box holds the duty with the same epoch
