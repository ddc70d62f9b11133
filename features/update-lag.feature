Feature: A node knows whether it lacks an update that it was told of

  Background:
    Given a node that may lack an update for 1500 ms, and takes announcements into account for 4000 ms after its session

  Scenario Outline: It is behind once an announced update has been missing for too long, and not when that can't be told
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
      | a snapshot at a/3, announced a/4, session over, 3900 ms                 | is      |
      | a snapshot at a/3, announced a/4, session over, 4100 ms                 | is not  |
      | a snapshot at a/3, 100 announcements from a/4, reached a/102, 1600 ms   | is      |
      | a snapshot at a/3, 100 announcements from a/4, reached a/103, 1600 ms   | is not  |
