Feature: Days of faults are drawn from a seed, and a table summarizes all days that were run

  Scenario: Days are reproducible from the seed, regardless of their number, and stay within bounds
    Given a list of kinds with one that is not supported
    When 12 days and then 40 days are drawn from seed 7
    Then the 12 days are identical to the first of the 40 days
    And every day is 32 to 120 s long, with at most 300 changes, at most 8 at a time, and no entry outside of its length
    And all supported kinds, all mixes, a repeated kind and a closing fault occur, with all parameters within bounds
    And the unsupported kind is reported and occurs in no day
    When 40 days are drawn from seed 8
    Then all days are different

  Scenario: The table counts each day once, by size, and lists a rule as mended only after a rerun without violation
    Given a journal in which one rule was violated and held later, and two remained violated
    When the table is generated with notes that mark two of them as mended
    Then it counts 1 full and 1 small day of origin own, 2 of origin hunt and 1 of origin standard
    And it reports 1 rule as mended and 2 as left, 1 day as aborted and 1 as partially run
    And its unbroken runs are those since the last violation
    When the table is generated from the last two runs only
    Then it counts 0 full and 1 small day of origin own, 0 of origin hunt and 0 of origin standard

  Scenario Outline: Invalid arguments are rejected with a one-line message
    When the chaos command is run with <arguments>
    Then it exits with code 2 and a one-line message containing "<what>"

    Examples:
      | arguments                                                            | what                                     |
      | days --site SITE --kinds KINDS --seed x --out OUT                    | --seed must be an integer from 0         |
      | days --site SITE --kinds KINDS --seed 1 --out OUT --longest 400      | --longest must be an integer from 32     |
      | days --site SITE --kinds SITE --seed 1 --out OUT                     | the list of kinds is empty               |
      | days --site nowhere.toml --kinds KINDS --seed 1 --out OUT            | nowhere.toml cannot be read              |
      | table --journal nowhere                                              | nowhere cannot be read                   |
      | table --journal BAD --notes NOTES --out OUT                          | id must be text                          |
