Feature: Forecast of the calls that move when a backend is added or retired
  The share that would move, node by node, from the subset that choosing goes by; asking moves no call.

  Scenario Outline: What nodes see lies within the band as often as it states
    Given fleets of <cells> cells with <nodes> nodes and <workers> workers each, <percent>% of all slots in use
    When <histories> histories are played, each with a forecast of <change>, and the change made or not
    Then at least 87% of the nodes' shares seen lie within their bands, and so do at least 80% of the fleets'
    And the fleets' bands are at most <width> wide on average

    Examples:
      | cells | nodes | workers | percent | histories | change                | width |
      | 2     | 14    | 12      | 40      | 10        | one worker retired    | 0.06  |
      | 2     | 14    | 12      | 70      | 10        | three workers retired | 0.1   |
      | 3     | 10    | 10      | 50      | 10        | a cell's retired      | 0.15  |
      | 2     | 4     | 4       | 50      | 30        | one worker retired    | 0.15  |
      | 2     | 14    | 12      | 50      | 10        | one worker added      | 0.2   |
      | 2     | 14    | 12      | 50      | 10        | four workers added    | 0.45  |

  Scenario: The same seed gives the same choices with and without forecasting
    Given fleets of 2 cells with 6 nodes and 8 workers each, 60% of all slots in use
    When one history is played with a forecast every second, and once more with none
    Then every node chose the same workers in the same order

  Scenario Outline: A kept forecast is set beside what the nodes saw
    Given a kept forecast that 20% of the calls of node "n1" would go to new workers, between 10% and 30%
    When the nodes have seen <seen> calls to workers new to "n1" and <old> to those of before
    Then the check of "n1" says "<verdict>"

    Examples:
      | seen | old | verdict       |
      | 20   | 80  | within        |
      | 60   | 40  | outside       |
      | 2    | 8   | too few calls |
