Feature: The fleet's health, by ranking faults, with a token for each removal

  Background:
    Given 12 workers of one service in 4 cells and an inspector that holds the duty

  Scenario: One bad worker among many is ejected, and says why
    When worker 3 has 40 faults and every other one 1
    Then only worker 3 is ejected
    And the ejection names the counts, the share, the token and the term

  Scenario: A fleet-wide rise ejects nobody
    When every worker has 40 faults
    Then nobody is ejected

  Scenario: A few faults are not enough to tell
    When worker 3 has 10 faults and every other one 0
    Then nobody is ejected

  Scenario: A second bad worker waits for the token
    When worker 3 has 40 faults and every other one 0
    And worker 5 has 900 faults and every other one 0
    Then only worker 3 is ejected
    When 11 minutes pass, in which worker 5 has 900 more faults
    Then worker 5 is ejected

  Scenario: An ejected worker returns
    When worker 3 has 40 faults and every other one 0
    And 11 minutes pass
    Then nobody is ejected

  Scenario: A stale holder cannot eject
    Given a newer term refuses what the inspector publishes
    When worker 3 has 40 faults and every other one 0
    Then nobody is ejected

  Scenario: A new holder starts with the token spent where a removal was made
    When worker 3 has 40 faults and every other one 0
    And another inspector takes the duty over and worker 5 has 900 faults
    Then only worker 3 is ejected

  Scenario: The cap leaves enough workers
    Given only 4 workers of the service are left
    When worker 3 has 40 faults and every other one 0
    Then nobody is ejected

  Scenario: Reports that come twice count once
    When the report of 15 faults of worker 3 comes twice
    Then nobody is ejected

  Scenario: Traffic shifts away from one bad cell, strictly one
    When every worker of cell 2 has 90 faults and every other one 1
    Then traffic is shifted away from cell 2
    When every worker of cell 3 has 900 faults and every other one 1
    Then traffic is shifted away from cell 2

  Scenario: A practice shift comes weekly and ends by itself
    When 8 days pass
    Then a practice shift has been made and is over
