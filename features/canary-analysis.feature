Feature: Canary analysis stops a bad route version early and passes a good one

  Scenario Outline: Seeded simulation at 30 requests per second and a 10% share for the candidate
    Given a baseline for <kind> requests with rates <late> late, <lost> lost and <dup> duplicated
    When 200 runs of a candidate with rates <c late> late, <c lost> lost and <c dup> duplicated are simulated
    Then at most <max> runs stop the candidate, and at least <min> do

    Examples:
      | kind   | late | lost  | dup   | c late | c lost | c dup | max | min |
      | safe   | 0.05 | 0.005 | 0     | 0.05   | 0.005  | 0     | 6   | 0   |
      | unsafe | 0.05 | 0.005 | 0.003 | 0.05   | 0.005  | 0.003 | 6   | 0   |
      | unsafe | 0.02 | 0     | 0.001 | 0.02   | 0      | 0.001 | 6   | 0   |
      | safe   | 0.05 | 0.005 | 0     | 0.05   | 0.1    | 0     | 200 | 195 |
      | safe   | 0.05 | 0.005 | 0     | 0.4    | 0.005  | 0     | 200 | 195 |
      | unsafe | 0.05 | 0.005 | 0.001 | 0.05   | 0.005  | 0.05  | 200 | 195 |

  Scenario: A candidate that loses responses to unsafe requests is stopped after a few
    Given a baseline for unsafe requests with rates 0.05 late, 0.005 lost and 0.001 duplicated
    When 200 runs of a candidate with rates 0.05 late, 0.005 lost and 0.05 duplicated are simulated
    Then the median run stops after at most 6 possibly duplicated requests and 130 requests

  Scenario: A good candidate passes promptly
    Given a baseline for safe requests with rates 0.05 late, 0.005 lost and 0 duplicated
    When 200 runs of a candidate with rates 0.05 late, 0.005 lost and 0 duplicated are simulated
    Then at least 180 runs pass the candidate, the median after at most 400 requests

  Scenario: A candidate worse by the non-inferiority margin seldom passes
    Given a baseline for safe requests with rates 0.05 late, 0 lost and 0 duplicated
    When 200 runs of a candidate with rates 0.05 late, 0.05 lost and 0 duplicated are simulated
    Then at most 14 runs pass the candidate

  Scenario: A candidate with 2% more possibly duplicated requests seldom passes
    Given a baseline for unsafe requests with rates 0.05 late, 0.005 lost and 0 duplicated
    When 200 runs of a candidate with rates 0.05 late, 0.005 lost and 0.02 duplicated are simulated
    Then at most 14 runs pass the candidate

  Scenario: A good candidate on an unsafe route passes
    Given a baseline for unsafe requests with rates 0.05 late, 0.005 lost and 0 duplicated
    When 200 runs of a candidate with rates 0.05 late, 0.005 lost and 0 duplicated are simulated
    Then at least 180 runs pass the candidate, the median after at most 400 requests

  Scenario: A candidate that degrades after it has passed is stopped
    Given a canary analyzer that holds the leader lease, for an unsafe route "r1" of "old" 90 and "new" 10
    When "new" answers 1000 requests in time and "old" 9000
    Then "new" has passed on "r1"
    When "new" possibly duplicates 8 of 1100 requests and "old" none of 9900
    Then the verdict on "new" is to stop it

  Scenario: A candidate with the larger share is stopped too
    Given a canary analyzer that holds the leader lease, for an unsafe route "r1" of "old" 40 and "new" 60
    When "new" possibly duplicates 14 of 336 requests and "old" none of 232
    Then "new" is stopped on "r1" in favour of "old", with a reason and evidence

  Scenario: A fault that affects baseline and candidate alike does not stop the candidate
    Given a baseline for unsafe requests with rates 0.3 late, 0.2 lost and 0.1 duplicated
    When 200 runs of a candidate with rates 0.3 late, 0.2 lost and 0.1 duplicated are simulated
    Then at most 6 runs stop the candidate, and at least 0 do

  Scenario: A candidate is not stopped for late responses of cold workers
    Given a canary analyzer that holds the leader lease, for an unsafe route "r1" of "old" 90 and "new" 10
    When "new" answers 300 requests late on cold workers while "old" answers 3000 in time on warm ones
    Then no candidate is stopped

  Scenario: The leader stops a bad candidate and stores the stop with its reason
    Given a canary analyzer that holds the leader lease, for an unsafe route "r1" of "old" 90 and "new" 10
    When "new" possibly duplicates 8 of 100 requests and "old" none of 900
    Then "new" is stopped on "r1" in favour of "old", with a reason and evidence

  Scenario: Duplicate and reordered reports are counted once
    Given a canary analyzer that holds the leader lease, for an unsafe route "r1" of "old" 90 and "new" 10
    When the same report of 50 requests to "new" arrives 3 times, followed by an older one
    Then 50 requests to "new" are counted

  Scenario: Malformed reports and reports about unknown routes or versions are dropped and counted
    Given a canary analyzer that holds the leader lease, for an unsafe route "r1" of "old" 90 and "new" 10
    When a malformed report, one for an unknown route and one for a stale version arrive
    Then 3 reports are counted as dropped, and no request to the candidate is counted

  Scenario: A controller that is not the leader stops nothing
    Given a canary analyzer without the leader lease, for an unsafe route "r1" of "old" 90 and "new" 10
    When "new" possibly duplicates 8 of 100 requests and "old" none of 900
    Then no candidate is stopped

  Scenario: A stop survives a leader change, until it is cleared or a newer version is published
    Given a canary analyzer that holds the leader lease, for an unsafe route "r1" of "old" 90 and "new" 10
    When "new" possibly duplicates 8 of 100 requests and "old" none of 900
    And another controller becomes the leader
    Then "new" is stopped on "r1" in favour of "old", with a reason and evidence
    And clearing a stop fails for an unknown route and for a stale version
    When the operator clears the stop on "r1"
    Then no candidate is stopped

  Scenario: The primary service of the previous version is the baseline, even if its share is now smaller
    Given a canary analyzer that holds the leader lease, for an unsafe route "r1" of "old" 10 and "new" 90
    When "new" possibly duplicates 8 of 100 requests and "old" none of 900
    Then "new" is stopped on "r1" in favour of "old", with a reason and evidence
