Feature: The scalability benchmark measures how the control plane grows, and refuses what the machine cannot bear

  Scenario: A change reaches every node in one frame each, whatever their number, and a node's own messages are bounded
    When the benchmark runs 6 and 24 light nodes before 3 controllers
    Then one change makes one update frame for each node at either size
    And a node at rest sends no more than the keep-alives of 3 connections and its report, at either size
    And no size failed

  Scenario Outline: A size that cannot be run is refused with one line
    When the benchmark is asked for <arguments>
    Then it ends with code 2 and one line that names "<what>"

    Examples:
      | arguments                  | what                          |
      | nodes 0                    | nodes must be a whole number  |
      | nodes 1.5                  | nodes must be a whole number  |
      | nodes 100000               | more than 10000               |
      | controllers 7              | is none of nodes              |
      | nodes 30 --hosts 400       | more than 300                 |
      | routes 8000000 --nodes 900 | half of this machine's memory |
