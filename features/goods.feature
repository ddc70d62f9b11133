Feature: Cached objects
  No cached object is served that a known purge names, none is older than it may be, and all caches together keep the
  origin's rate limit.

  Scenario: Simultaneous misses share one fetch, and a cached object is served until its maximum age
    Given a store whose source takes 100 ms
    When 5 callers want "/a" at the same moment
    Then the source was asked 1 time
    When 39 seconds pass at the store
    Then a caller of "/a" gets version 1
    And the source was asked 1 time
    When 2 seconds pass at the store
    Then a caller of "/a" gets version 1
    And the source was asked 2 times

  Scenario Outline: A purge ends the cached objects it names, and those of a fetch in flight
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

  Scenario: An object from a cache that learns of the purge late isn't accepted
    Given a store whose source is a cache with an old object
    And a purge of path "/a" is learned
    When a caller wants "/a"
    Then the cache was asked for an object no older than the purge

  Scenario: Updates that are too old: no cached object is served without revalidation
    Given a store whose source takes 100 ms
    And a caller of "/a" gets version 1
    When the updates are too old
    Then a caller of "/a" gets version 1
    And the source was asked 2 times, the last time with the old object

  Scenario: When the source fails an object just beyond its age is served stale, but not one beyond the stale-if-error limit
    Given a store whose source takes 100 ms
    And a caller of "/a" gets version 1
    When the source refuses for its rate
    And 40 seconds pass at the store
    Then a caller of "/a" gets version 1
    When 1 second passes at the store
    Then a caller of "/a" is refused for the rate

  Scenario: All shares together keep the rate limit, while caches crash, start, and the allocator moves
    Given an origin with a rate of 100 a second and a limit of 1.1 over 5 s
    When 4 caches spend all they may for 60 s, while caches crash and start and the allocator moves
    Then no 5 s of the recorded history hold more than the limit allows
    And at least 70 requests a second were made

  Scenario: A cache partitioned from the allocator stops at the end of its lease
    Given an origin with a rate of 100 a second and a limit of 1.1 over 5 s
    When one cache of 2 is partitioned
    Then it sends nothing once its lease has ended, and the other then gets the whole rate

  Scenario Outline: Ranges are resolved as workers resolve them
    Then the range "<range>" of 100 bytes resolves to "<result>"

    Examples:
      | range         | result        |
      | bytes=0-9     | 0-9           |
      | bytes=90-     | 90-99         |
      | bytes=50-500  | 50-99         |
      | bytes=100-    | unsatisfiable |
      | bytes=-5      | full          |
      | bytes=0-1,4-5 | full          |
      | lines=0-1     | full          |
