Feature: One written limit on retries over all nodes, by kind of call
  In any window the retries of a kind stay within ratio x requests + slack, whatever dies; nothing that has run is sent again.

  Scenario: The retries of all nodes together stay within the limit in every window
    Given 10 nodes under a ratio of 0.2 and a slack of 70 over 10 seconds
    When each sends 5 requests a second and wants a retry for each, for 60 seconds, and node 3 restarts at 30
    Then in no window do the retries of a kind exceed its ratio times its requests plus its slack
    And more than 100 retries were made

  Scenario Outline: While nodes restart and are cut off, replies come late, and the duty's holder dies again and again
    Given <nodes> nodes under a ratio of 0.02 and a slack of 200 over 10 seconds
    When a slowdown of 120 seconds makes them want a retry for most requests, with everything failing in turn, seed <seed>
    Then in no window do the retries of a kind exceed its ratio times its requests plus its slack
    And at least <least> retries were made under leases

    Examples:
      | nodes | seed | least |
      | 20    | 1    | 500   |
      | 20    | 2    | 500   |
      | 60    | 3    | 500   |

  Scenario: The check finds leases that are twice as large
    Given 20 nodes under a ratio of 0.02 and a slack of 200 over 10 seconds
    And every lease counts twice
    When a slowdown of 120 seconds makes them want a retry for most requests, with everything failing in turn, seed 1
    Then in some window the retries of a kind exceed its ratio times its requests plus its slack

  Scenario: A lowered limit holds once every lease of before has ended
    Given 20 nodes under a ratio of 0.02 and a slack of 200 over 10 seconds
    When after 60 seconds of a slowdown the slack is lowered to 50
    Then no window that begins 5 seconds later or more passes the lowered limit, and none before the old one

  Scenario: A node that has just started may retry nothing
    Given 1 nodes under a ratio of 0.2 and a slack of 70 over 10 seconds
    Then it may retry nothing

  Scenario: A new holder renews what nodes have, and leases nothing anew until what was given before is over
    Given a holder that has leased 40 tokens of 200 to a node
    When another takes the duty
    Then the node's 40 tokens are renewed, and nobody else gets any for 13 seconds
    And after that others get some

  Scenario: Nothing is asked while no retry is refused
    Given a node with a retry keeper
    When it makes 100 requests and 5 retries
    Then nothing was asked of the holder
    When a retry is refused
    Then it asks the holder within a second, takes the lease, and stops asking when it needs none

  Scenario Outline: A written limit is checked
    When the limit of <kind> is set to a ratio of <ratio> and a slack of <slack>, under 0.2 and 70
    Then it is <verdict>

    Examples:
      | kind   | ratio | slack | verdict                                        |
      | safe   | 0.15  | 30    | taken                                          |
      | unsafe | 0.05  | 7     | taken                                          |
      | safe   | 0.3   | 30    | refused for "above the deployment's 0.2"       |
      | safe   | 0.2   | 60    | refused for "above the deployment's 70"        |
      | safe   | 0.05  | 10    | refused for "above that of safe"               |
      | unsafe | -1    | 7     | refused for "must be a number of 0 or more"    |
      | other  | 0.1   | 7     | refused for "the kind must be one of"          |

  Scenario: By default what can't be repeated has the stricter limit
    Then by default unsafe and keyed have at most half of the ratio and slack of safe, and all slacks fit under the deployment's
