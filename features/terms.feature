Feature: Settings are validated, the worker registry keeps states, usage is exported

  Scenario Outline: An invalid settings file is rejected with one line naming the field
    When settings are read in which <flaw>
    Then they are rejected in one line that names "<field>"

    Examples:
      | flaw                          | field           |
      | the name is empty             | node.name       |
      | the grace is no duration          | bounds.grace    |
      | the ports are one             | node.sparePorts |
      | the seeds are a text          | node.seedNodes  |
      | the log level is unknown      | node.logLevel   |
      | a rollout weight is negative  | rollout.late    |
      | the file is no TOML           | Invalid         |

  Scenario: Valid settings are whole microseconds
    When settings are read in which nothing is wrong
    Then the grace is 6000000 microseconds

  Scenario: Joins that come together are announced once
    Given an announcement that is debounced for 60 ms
    When 430 nodes join within 50 ms
    Then it is made 1 time
    When 3 nodes join 100 ms apart
    Then it is made 4 times

  Scenario: A late heartbeat does not make a draining worker ready again
    Given a registry that knows worker "w1" as draining at call 5
    When a heartbeat of call 4 says that "w1" is ready
    Then "w1" is draining
    When a heartbeat of call 6 says that "w1" is ready
    Then "w1" is draining

  Scenario: A worker without heartbeats for some time is missing, and back with its next one
    Given a registry that knows worker "w1" as ready at call 5
    When 6 seconds go by
    Then "w1" is missing
    When a heartbeat of call 6 says that "w1" is ready
    Then "w1" is ready

  Scenario: A worker that left stays gone
    Given a registry that knows worker "w1" as ready at call 5
    When "w1" leaves
    And a heartbeat of call 9 says that "w1" is ready
    Then "w1" is gone

  Scenario: Usage is exported alike to CSV and Parquet, by the stated schema
    Given usage rows of two nodes, one with a comma and a quote in its route
    When they are written as CSV and as Parquet and read back
    Then both give the same rows
