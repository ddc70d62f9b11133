Feature: Retries are limited by kind of route over all nodes together
  In any window the retries of a kind stay within ratio x requests + slack, whatever fails; a request that has been executed is not sent again.

  Scenario: The retries of all nodes together stay within the limit in every window
    Given 10 nodes with a retry limit of ratio 0.2 and slack 70 over 10 seconds
    When each sends 5 requests per second and attempts a retry of each, for 60 seconds, and node 3 restarts after 30
    Then in no window do the retries of a kind exceed its ratio times its requests plus its slack
    And more than 100 retries were made

  Scenario Outline: The limit holds while nodes restart or are partitioned, responses are delayed, and the leader fails repeatedly
    Given <nodes> nodes with a retry limit of ratio 0.02 and slack 200 over 10 seconds
    When a slowdown of 120 seconds makes the nodes attempt a retry of most requests while all kinds of failures are injected, with seed <seed>
    Then in no window do the retries of a kind exceed its ratio times its requests plus its slack
    And at least <least> retries were made under leases

    Examples:
      | nodes | seed | least |
      | 20    | 1    | 500   |
      | 20    | 2    | 500   |
      | 60    | 3    | 500   |

  Scenario: The check detects leases that are twice as large as they should be
    Given 20 nodes with a retry limit of ratio 0.02 and slack 200 over 10 seconds
    And every node uses twice the tokens of its leases
    When a slowdown of 120 seconds makes the nodes attempt a retry of most requests while all kinds of failures are injected, with seed 1
    Then in some window the retries of a kind exceed its ratio times its requests plus its slack

  Scenario: A lowered limit holds once all earlier leases have expired
    Given 20 nodes with a retry limit of ratio 0.02 and slack 200 over 10 seconds
    When after 60 seconds of a slowdown the slack is lowered to 50
    Then no window that starts 5 seconds later or more exceeds the lowered limit, and no earlier one the previous limit

  Scenario: A node that has just started is allowed no retries
    Given 1 node with a retry limit of ratio 0.2 and slack 70 over 10 seconds
    Then it is allowed no retry

  Scenario: A new leader renews the leases that nodes hold, and grants no others until the earlier leases are over
    Given a leader that has leased 40 tokens of 200 to a node
    When another controller takes over the allocation of leases
    Then the node's 40 tokens are renewed, and no other node gets any for 13 seconds
    And after that another node gets tokens

  Scenario: A node requests no lease while no retry is rejected
    Given a node with a renewer of retry leases
    When it makes 100 requests and 5 retries
    Then no lease was requested from the leader
    When a retry is rejected
    Then it requests a lease from the leader within a second, uses it, and stops requesting when it needs none

  Scenario Outline: A new limit is validated
    When the limit of <kind> is set to a ratio of <ratio> and a slack of <slack>, with a deployment maximum of 0.2 and 70
    Then it is <verdict>

    Examples:
      | kind   | ratio | slack | verdict                                        |
      | safe   | 0.15  | 30    | accepted                                       |
      | unsafe | 0.05  | 7     | accepted                                       |
      | safe   | 0.3   | 30    | rejected for "above the deployment's 0.2"      |
      | safe   | 0.2   | 60    | rejected for "above the deployment's 70"       |
      | safe   | 0.05  | 10    | rejected for "above that of safe"              |
      | unsafe | -1    | 7     | rejected for "must be a number of 0 or more"   |
      | other  | 0.1   | 7     | rejected for "the kind must be one of"         |

  Scenario: By default, requests that are not safe to repeat have stricter limits
    Then by default the unsafe and keyed kinds have at most half of the ratio and slack of the safe kind, and all slacks together stay within the deployment's
