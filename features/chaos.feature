Feature: Days of faults are drawn from a seed, and a table shows what all days that were run found

  Scenario: One seed gives the same days, whatever else is drawn; all stay within their bounds
    Given a list of kinds with one that the system isn't built for
    When 40 days are drawn from seed 7, and 12 again
    Then the 12 are the first of the 40, word for word
    And every day has 32 to 120 s, at most 300 changes and 8 of them at one moment, and nothing outside of its length
    And every supported kind and each mix came, some kind twice in a day, some closing fault, and no figure is out of bounds
    And the kind that the system isn't built for is named and in no day
    When 40 days are drawn from seed 8
    Then they are other days

  Scenario: The table counts days once, tells full and small ones apart, and calls nothing mended that was not run again
    Given a journal in which one rule was broken and held later, and two stayed broken
    When the table is made with notes that call two of them mended
    Then it counts 1 full day and 1 small twin of our own, 2 of the bench's hunts and 1 standard day
    And it reports 1 rule as mended and 2 as left, 1 day aborted and 1 run in part
    And its unbroken runs are those since the last that broke a rule
    When the table is made of runs since the last two days only
    Then it counts 0 full days and 1 small twin of our own, 0 of the bench's hunts and 0 standard days

  Scenario Outline: A wrong call is refused with one line
    When chaos is asked for <arguments>
    Then it ends with code 2 and says in one line "<what>"

    Examples:
      | arguments                                                            | what                                     |
      | days --site SITE --kinds KINDS --seed x --out OUT                    | --seed must be a whole number            |
      | days --site SITE --kinds KINDS --seed 1 --out OUT --longest 400      | --longest must be a whole number from 32 |
      | days --site SITE --kinds SITE --seed 1 --out OUT                     | the list of kinds holds none             |
      | days --site nowhere.toml --kinds KINDS --seed 1 --out OUT            | nowhere.toml cannot be read              |
      | table --journal nowhere                                              | nowhere cannot be read                   |
      | table --journal BAD --notes NOTES --out OUT                          | id must be text                          |
