Feature: Forecast of the calls that are reassigned when a backend is added or retired
  The forecast gives the share of calls that would be reassigned, per node, based on the subset that load balancing uses. It does not reassign any call itself.

  Scenario Outline: Observed shares fall within the forecast's confidence band as often as it states
    Given fleets of <zones> zones with <nodes> nodes and <workers> workers each, <percent>% of all slots in use
    When <runs> runs are simulated, each with a forecast of <change>, where only added workers are actually added
    Then at least 87% of the nodes' observed shares lie within their bands, and at least 80% of the fleets'
    And the fleets' bands are at most <width> wide on average

    Examples:
      | zones | nodes | workers | percent | runs | change                          | width |
      | 2     | 14    | 12      | 40      | 10   | one worker retired              | 0.06  |
      | 2     | 14    | 12      | 70      | 10   | three workers retired           | 0.1   |
      | 3     | 10    | 10      | 50      | 10   | all workers of one zone retired | 0.15  |
      | 2     | 4     | 4       | 50      | 30   | one worker retired              | 0.15  |
      | 2     | 14    | 12      | 50      | 10   | one worker added                | 0.2   |
      | 2     | 14    | 12      | 50      | 10   | four workers added              | 0.45  |

  Scenario: The same seed gives the same choices with and without forecasting
    Given fleets of 2 zones with 6 nodes and 8 workers each, 60% of all slots in use
    When one run is simulated with a forecast every second and once more without forecasts
    Then every node chose the same workers in the same order

  Scenario Outline: A saved forecast is compared with the observed calls
    Given a saved forecast that 20% of the calls of node "n1" would go to new workers, between 10% and 30%
    When the nodes have sent <new> calls to workers new to "n1" and <known> to workers it already had
    Then the check of "n1" reports "<verdict>"

    Examples:
      | new | known | verdict       |
      | 20  | 80    | within        |
      | 60  | 40    | outside       |
      | 2   | 8     | too few calls |
