Feature: The test track measures how the control side grows, and refuses what the machine can't bear

  Scenario: A change reaches every node in one frame each, whatever their number, and a node's own messages are bounded
    When the test track runs 6 and 24 hollow nodes before 3 signalboxes
    Then one change makes one news frame for each node at either size
    And a node at rest sends no more than the pulses of 3 connections and its report, at either size
    And no size failed

  Scenario Outline: What can't be run is refused with one line
    When the test track is asked for <arguments>
    Then it ends with code 2 and one line that names "<what>"

    Examples:
      | arguments                  | what                          |
      | nodes 0                    | nodes must be a whole number  |
      | nodes 1.5                  | nodes must be a whole number  |
      | nodes 100000               | more than 10000               |
      | boxes 7                    | is none of nodes              |
      | nodes 30 --hosts 400       | more than 300                 |
      | routes 8000000 --nodes 900 | half of this machine's memory |
