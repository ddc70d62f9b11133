Feature: Drawn mishaps between callers, a front and workers, and both sides' histories matched afterwards
  Each answer to its caller, whole; what can't be repeated at most once; each promise kept. `npm run fuzz` plays more.

  Scenario: A count of seeds shows no violation
    When 200 seeds are played from 1
    Then no history shows a violation, and more than 1000 tries were made

  Scenario Outline: Each check notices what it is there for
    When seeds are played where <broken>, until a check notices
    Then it is noticed by "<check>"

    Examples:
      | broken                                           | check      |
      | another's answer passes as this try's            | own        |
      | what can't be repeated is taken for repeatable   | once       |
      | what has run is promised not to have             | promised   |
      | bodies change on their way                       | asked      |
      | tries are not counted                            | fewTries   |
      | every claim of a key wins                        | oneRunAKey |
      | no time ever runs out                            | answered   |
      | callers leave and nobody notices                 | inTime     |
      | calls are never ended                            | allClosed  |
