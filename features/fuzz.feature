Feature: Random faults between clients, a proxy server and workers; both sides' histories are matched afterwards
  Each response complete and to its client; what is not idempotent at most once; each promise kept. `npm run fuzz` plays more.

  Scenario: A count of seeds shows no violation
    When 200 seeds are played from 1
    Then no history shows a violation, and more than 1000 attempts were made

  Scenario Outline: Each check notices what it is there for
    When seeds are played where <broken>, until a check notices
    Then it is noticed by "<check>"

    Examples:
      | broken                                         | check            |
      | another's answer passes as this try's          | ownResponse      |
      | what can't be repeated is taken for repeatable | atMostOnce       |
      | what has run is promised not to have           | promiseKept      |
      | bodies change on their way                     | unchangedRequest |
      | tries are not counted                          | maxTries         |
      | every claim of a key wins                      | oneRunPerKey     |
      | no time ever runs out                          | answered         |
      | callers leave and nobody notices               | notAfterLeaving  |
      | calls are never ended                          | nothingLeftOpen  |
