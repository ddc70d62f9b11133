Feature: Settings validation, worker registry states and usage export

  Scenario Outline: An invalid settings file is rejected with one line naming the field
    When settings are parsed in which <error>
    Then they are rejected in one line that names "<field>"

    Examples:
      | error                              | field           |
      | the name is empty                  | node.name       |
      | the grace period is not a duration | bounds.grace    |
      | the port range has only one port   | node.sparePorts |
      | the seed nodes are not a list      | node.seedNodes  |
      | the log level is unknown           | node.logLevel   |
      | a rollout weight is negative       | rollout.late    |
      | the file is not TOML               | Invalid         |

  Scenario: Durations in valid settings are converted to microseconds
    When settings are parsed in which nothing is wrong
    Then the grace period is 6000000 microseconds

  Scenario: Joins in quick succession are announced once
    Given an announcement that is debounced for 60 ms
    When 430 nodes join within 50 ms
    Then the announcement is made 1 time
    When 3 nodes join 100 ms apart
    Then the announcement is made 4 times

  Scenario: An outdated heartbeat does not make a draining worker ready again
    Given a registry with worker "w1" as draining since heartbeat 5
    When heartbeat 4 reports "w1" as ready
    Then the registry has "w1" as draining
    When heartbeat 6 reports "w1" as ready
    Then the registry has "w1" as draining

  Scenario: A worker without heartbeats for some time is missing until its next one
    Given a registry with worker "w1" as ready since heartbeat 5
    When 6 seconds pass without heartbeats
    Then the registry has "w1" as missing
    When heartbeat 6 reports "w1" as ready
    Then the registry has "w1" as ready

  Scenario: A worker that left is not brought back by a heartbeat
    Given a registry with worker "w1" as ready since heartbeat 5
    When worker "w1" leaves the registry
    And heartbeat 9 reports "w1" as ready
    Then the registry has "w1" as gone

  Scenario: CSV and Parquet exports of usage hold the same rows
    Given usage rows of two nodes, one with a comma and a quote in its route
    When they are written as CSV and as Parquet and read back
    Then both give the same rows
