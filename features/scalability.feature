Feature: The scalability benchmark measures the growth of the control plane, and rejects runs too large for the machine

  Scenario: A change reaches each node in one frame regardless of their number, and an idle node's traffic is bounded
    When the benchmark runs 6 and 24 light nodes with 3 controllers
    Then one change causes one update frame per node at both sizes
    And an idle node sends at most the keep-alives of 3 connections and its report at both sizes
    And no size failed

  Scenario Outline: An invalid or too large size is rejected with a one-line message
    When the benchmark is run with <arguments>
    Then it exits with code 2 and one line that contains "<what>"

    Examples:
      | arguments                  | what                             |
      | nodes 0                    | nodes must be a positive integer |
      | nodes 1.5                  | nodes must be a positive integer |
      | nodes 100000               | more than the limit of 10000     |
      | controllers 7              | is none of nodes                 |
      | nodes 30 --hosts 400       | more than the limit of 300       |
      | routes 8000000 --nodes 900 | half of this machine's memory    |
