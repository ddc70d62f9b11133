Feature: Objects from copies
  No copy is given that a known purge names, none is older than it may be, and the origin's rate is kept by all together.

  Scenario: Simultaneous misses share one fetch, and a copy serves until its age is over
    Given a store whose source takes 100 ms
    When 5 callers want "/a" at the same moment
    Then the source was asked 1 time
    When 39 seconds pass at the store
    Then a caller of "/a" gets version 1
    And the source was asked 1 time
    When 2 seconds pass at the store
    Then a caller of "/a" gets version 1
    And the source was asked 2 times

  Scenario Outline: A purge ends the copies it names, and those of a fetch that runs
    Given a store whose source takes 100 ms
    And a caller of "/a" gets version 1
    When the object changes and a purge of <what> is learned
    Then a caller of "/a" gets version 2
    When a caller wants "/b" and the object changes and a purge of <what> is learned meanwhile
    Then a caller of "/b" gets version <later>

    Examples:
      | what        | later |
      | label "t1"  | 3     |
      | path "/a"   | 2     |

  Scenario: A copy from a depot that learns of the purge late isn't taken
    Given a store whose source is a depot with an old copy
    And a purge of path "/a" is learned
    When a caller wants "/a"
    Then the depot was asked for a copy no older than the purge

  Scenario: News that is too old: no copy is given without a check
    Given a store whose source takes 100 ms
    And a caller of "/a" gets version 1
    When the news is too old
    Then a caller of "/a" gets version 1
    And the source was asked 2 times, the last time with the old copy

  Scenario: When nothing is left a copy just beyond its age is used, but not one beyond the slack
    Given a store whose source takes 100 ms
    And a caller of "/a" gets version 1
    When the source refuses for its rate
    And 40 seconds pass at the store
    Then a caller of "/a" gets version 1
    When 1 second passes at the store
    Then a caller of "/a" is refused for the rate

  Scenario: All shares together keep the ceiling, while depots die, start, and the duty moves
    Given an origin with a rate of 100 a second and a ceiling of 1.1 over 5 s
    When 4 depots spend all they may for 60 s, while depots die and start and the duty moves
    Then no 5 s of the recorded history hold more than the ceiling allows
    And at least 70 requests a second were made

  Scenario: A depot cut off from the giver stops at the end of its grant
    Given an origin with a rate of 100 a second and a ceiling of 1.1 over 5 s
    When one depot of 2 is cut off
    Then it sends nothing once its grant has ended, and the other then gets the whole rate

  Scenario Outline: Ranges are cut as workers cut them
    Then the range "<range>" of 100 bytes is "<cut>"

    Examples:
      | range         | cut   |
      | bytes=0-9     | 0-9   |
      | bytes=90-     | 90-99 |
      | bytes=50-500  | 50-99 |
      | bytes=100-    | past  |
      | bytes=-5      | whole |
      | bytes=0-1,4-5 | whole |
      | lines=0-1     | whole |
