Feature: A bad route version is stopped fast and a sound one let through

  Scenario Outline: Seeded simulation of many runs at 30 requests a second and a 10% share
    Given runs of a <kind> route whose baseline is late <late> and lost <lost> and doubled <doubled>
    When 200 runs of a candidate that is late <clate> and lost <clost> and doubled <cdoubled> are played
    Then at most <stops> of them stop and at least <least> of them do

    Examples:
      | kind   | late | lost  | doubled | clate | clost | cdoubled | stops | least |
      | safe   | 0.05 | 0.005 | 0       | 0.05  | 0.005 | 0        | 6     | 0     |
      | unsafe | 0.05 | 0.005 | 0.003   | 0.05  | 0.005 | 0.003    | 6     | 0     |
      | unsafe | 0.02 | 0     | 0.001   | 0.02  | 0     | 0.001    | 6     | 0     |
      | safe   | 0.05 | 0.005 | 0       | 0.05  | 0.1   | 0        | 200   | 195   |
      | safe   | 0.05 | 0.005 | 0       | 0.4   | 0.005 | 0        | 200   | 195   |
      | unsafe | 0.05 | 0.005 | 0.001   | 0.05  | 0.005 | 0.05     | 200   | 195   |

  Scenario: A candidate that loses answers of unsafe requests is stopped after a few
    Given runs of a unsafe route whose baseline is late 0.05 and lost 0.005 and doubled 0.001
    When 200 runs of a candidate that is late 0.05 and lost 0.005 and doubled 0.05 are played
    Then the median run stops after at most 6 possibly doubled requests and 130 requests

  Scenario: A sound candidate passes, and promptly
    Given runs of a safe route whose baseline is late 0.05 and lost 0.005 and doubled 0
    When 200 runs of a candidate that is late 0.05 and lost 0.005 and doubled 0 are played
    Then at least 180 of them pass, the median after at most 400 requests

  Scenario: A candidate worse by the tolerance seldom passes
    Given runs of a safe route whose baseline is late 0.05 and lost 0 and doubled 0
    When 200 runs of a candidate that is late 0.05 and lost 0.05 and doubled 0 are played
    Then at most 14 of them pass

  Scenario: A candidate that possibly doubles 2 in 100 more seldom passes
    Given runs of a unsafe route whose baseline is late 0.05 and lost 0.005 and doubled 0
    When 200 runs of a candidate that is late 0.05 and lost 0.005 and doubled 0.02 are played
    Then at most 14 of them pass

  Scenario: A sound candidate of an unsafe route passes, later than a safe one
    Given runs of a unsafe route whose baseline is late 0.05 and lost 0.005 and doubled 0
    When 200 runs of a candidate that is late 0.05 and lost 0.005 and doubled 0 are played
    Then at least 180 of them pass, the median after at most 400 requests

  Scenario: A candidate that goes bad after it has passed is stopped
    Given a rollout inspector that holds the duty, for an unsafe route "r1" of "old" 90 and "new" 10
    When "new" answers 1000 requests in time and "old" 9000
    Then "new" has passed on "r1"
    When "new" possibly doubles 8 of 1100 requests and "old" none of 9900
    Then the verdict on "new" is a stop

  Scenario: A candidate with the larger share is stopped too
    Given a rollout inspector that holds the duty, for an unsafe route "r1" of "old" 40 and "new" 60
    When "new" possibly doubles 14 of 336 requests and "old" none of 232
    Then "new" is stopped on "r1" in favour of "old", with counts and a reason

  Scenario: A fault that hits both sides alike stops nobody
    Given runs of a unsafe route whose baseline is late 0.3 and lost 0.2 and doubled 0.1
    When 200 runs of a candidate that is late 0.3 and lost 0.2 and doubled 0.1 are played
    Then at most 6 of them stop and at least 0 of them do

  Scenario: A candidate whose workers are cold is not condemned for being late
    Given a rollout inspector that holds the duty, for an unsafe route "r1" of "old" 90 and "new" 10
    When "new" answers 300 requests late on cold workers while "old" answers 3000 in time on warm ones
    Then nothing is stopped

  Scenario: The holder stops a bad candidate, durably and with its reason
    Given a rollout inspector that holds the duty, for an unsafe route "r1" of "old" 90 and "new" 10
    When "new" possibly doubles 8 of 100 requests and "old" none of 900
    Then "new" is stopped on "r1" in favour of "old", with counts and a reason

  Scenario: Reports that come twice or out of order add nothing
    Given a rollout inspector that holds the duty, for an unsafe route "r1" of "old" 90 and "new" 10
    When the same report of 50 requests of "new" comes 3 times, and then an older one
    Then 50 requests of "new" are counted

  Scenario: Malformed and unknown reports are dropped and counted
    Given a rollout inspector that holds the duty, for an unsafe route "r1" of "old" 90 and "new" 10
    When a malformed report, one of an unknown route and one of a stale version come
    Then 3 reports are counted as dropped and nothing else

  Scenario: Who does not hold the duty stops nothing
    Given a rollout inspector without the duty, for an unsafe route "r1" of "old" 90 and "new" 10
    When "new" possibly doubles 8 of 100 requests and "old" none of 900
    Then nothing is stopped

  Scenario: A stop outlasts its holder and ends by clearing or a newer version
    Given a rollout inspector that holds the duty, for an unsafe route "r1" of "old" 90 and "new" 10
    When "new" possibly doubles 8 of 100 requests and "old" none of 900
    And another inspector takes over
    Then "new" is stopped on "r1" in favour of "old", with counts and a reason
    And clearing an unknown route or a stale version says so
    When the operator clears "r1"
    Then nothing is stopped

  Scenario: The previous version's main service is the baseline, even when the new version turns the shares round
    Given a rollout inspector that holds the duty, for an unsafe route "r1" of "old" 10 and "new" 90
    When "new" possibly doubles 8 of 100 requests and "old" none of 900
    Then "new" is stopped on "r1" in favour of "old", with counts and a reason
