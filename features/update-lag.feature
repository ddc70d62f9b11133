Feature: A node detects whether it is missing an announced update

  Background:
    Given a node that may miss an announced update for 1500 ms, and takes announcements into account for 4000 ms after its session ended

  Scenario Outline: A node is behind once an announced update has been missing for too long, but not if that cannot be determined
    When <events>
    Then it <verdict> behind

    Examples:
      | events                                                                  | verdict |
      | a snapshot at a/3, announced a/4, 1400 ms                               | is not  |
      | a snapshot at a/3, announced a/4, 1600 ms                               | is      |
      | a snapshot at a/3, announced a/4, reached a/4, 1600 ms                  | is not  |
      | a snapshot at a/3, reached a/4, announced a/4, 1600 ms                  | is not  |
      | a snapshot at a/3, announced a/4, announced a/6, reached a/5, 1600 ms   | is      |
      | a snapshot at a/3, announced a/4, 1000 ms, announced a/5, 600 ms        | is      |
      | a snapshot at a/3, announced a/4, 1600 ms, a snapshot at b/1            | is not  |
      | a snapshot at a/3, announced a/4, 1600 ms, a snapshot at a/3            | is      |
      | a snapshot without a position, announced a/4, 1600 ms                   | is not  |
      | a snapshot at a/3, announced a/4, a snapshot without a position, 1600 ms | is not |
      | a snapshot without a position, reached a/3, announced a/4, 1600 ms      | is      |
      | a snapshot at a/3, announced a/4, session ended, 3900 ms                | is      |
      | a snapshot at a/3, announced a/4, session ended, 4100 ms                | is not  |
      | a snapshot at a/3, 100 announcements from a/4, reached a/102, 1600 ms   | is      |
      | a snapshot at a/3, 100 announcements from a/4, reached a/103, 1600 ms   | is not  |
