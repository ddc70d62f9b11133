Feature: Cached objects
  No cached object is served that is covered by a known purge or older than its maximum age, and all caches
  together keep the origin's rate limit.

  Scenario: Simultaneous misses share one fetch, and a cached object is served until its maximum age
    Given an object store whose source takes 100 ms
    When 5 clients request "/a" at the same time
    Then the source was queried 1 time
    When 39 seconds pass in the store
    Then a client that requests "/a" gets version 1
    And the source was queried 1 time
    When 2 seconds pass in the store
    Then a client that requests "/a" gets version 1
    And the source was queried 2 times

  Scenario Outline: A purge drops the cached objects that it covers, and those of a fetch in flight
    Given an object store whose source takes 100 ms
    And a client that requests "/a" gets version 1
    When the object changes and a purge of <target> is received
    Then a client that requests "/a" gets version 2
    When a client requests "/b" and meanwhile the object changes and a purge of <target> is received
    Then a client that requests "/b" gets version <later>

    Examples:
      | target      | later |
      | label "t1"  | 3     |
      | path "/a"   | 2     |

  Scenario: An object from a cache that has not received the purge yet is not accepted
    Given an object store whose source is a cache with an outdated object
    And a purge of path "/a" is received
    When a client requests "/a"
    Then the cache was asked for an object no older than the purge

  Scenario: Without recent updates no cached object is served without revalidation
    Given an object store whose source takes 100 ms
    And a client that requests "/a" gets version 1
    When the updates are stale
    Then a client that requests "/a" gets version 1
    And the source was queried 2 times, the last time to revalidate the cached object

  Scenario: When the source fails, an expired object is served up to the stale-if-error limit
    Given an object store whose source takes 100 ms
    And a client that requests "/a" gets version 1
    When the source is rate limited
    And 40 seconds pass in the store
    Then a client that requests "/a" gets version 1
    When 1 second passes in the store
    Then a client that requests "/a" is refused because of the rate limit

  Scenario: All rate shares together keep the limit while caches restart and the allocator is replaced
    Given an origin with a rate of 100 per second and a limit of 1.1 over 5 s
    When 4 caches send at their full rate for 60 s while caches restart, are partitioned and the allocator is replaced
    Then no 5 s window has more requests than the limit allows
    And at least 70 requests per second were sent

  Scenario: A cache partitioned from the allocator stops sending when its lease expires
    Given an origin with a rate of 100 per second and a limit of 1.1 over 5 s
    When one of 2 caches is partitioned from the allocator
    Then it sends nothing after its lease expires, and the other then gets the whole rate

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
