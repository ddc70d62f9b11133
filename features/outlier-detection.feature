Feature: Outlier detection ejects faulty workers, with a removal token for each ejection

  Background:
    Given 12 workers of one service in 4 zones and an outlier detector on the leader

  Scenario: A single faulty worker among many is ejected, with a reason
    When worker 3 has 40 faults and each other worker has 1
    Then only worker 3 is ejected
    And the ejection states the counts, the share, the token and the term

  Scenario: A rise in faults across all workers ejects none
    When each worker has 40 faults
    Then no worker is ejected

  Scenario: Too few faults are no evidence
    When worker 3 has 10 faults and each other worker has 0
    Then no worker is ejected

  Scenario: A second faulty worker is ejected only once the removal token is available again
    When worker 3 has 40 faults and each other worker has 0
    And worker 5 has 900 faults and each other worker has 0
    Then only worker 3 is ejected
    When 11 minutes pass, then worker 5 has 900 more faults
    Then worker 5 is ejected

  Scenario: An ejection expires
    When worker 3 has 40 faults and each other worker has 0
    And 11 minutes pass
    Then no worker is ejected

  Scenario: A leader with a stale term cannot eject
    Given the detector's decisions are rejected because of a newer term
    When worker 3 has 40 faults and each other worker has 0
    Then no worker is ejected

  Scenario: A new leader assumes that the removal token is spent after an earlier ejection
    When worker 3 has 40 faults and each other worker has 0
    And another controller becomes the leader and worker 5 has 900 faults
    Then only worker 3 is ejected

  Scenario: No worker is ejected when too few would remain
    Given only 4 workers of the service remain
    When worker 3 has 40 faults and each other worker has 0
    Then no worker is ejected

  Scenario: Duplicate reports are counted once
    When the report of 15 faults of worker 3 arrives twice
    Then no worker is ejected

  Scenario: Traffic is shifted away from a faulty zone, and from one zone at a time
    When each worker of zone 2 has 90 faults and each other worker has 1
    Then traffic is shifted away from zone 2
    When each worker of zone 3 has 900 faults and each other worker has 1
    Then traffic is shifted away from zone 2

  Scenario: A practice run of the zonal shift takes place weekly and ends by itself
    When 8 days pass
    Then one practice run has been made and has ended
