Feature: Workers that warm up get no more requests than they can take

  Scenario: A zone that the operator has evacuated gets no requests
    Given a system with a worker whose service has a limit during warm-up
    When the operator starts the evacuation of the zone
    Then the call is answered with 200
    When 5 requests are sent
    Then each is answered with 503, and the worker has received none
    When the operator ends the evacuation of the zone
    Then the call is answered with 200

  Scenario: Gateways learn from a heartbeat that a worker has turned cold again
    Given a system with a worker whose service has a limit during warm-up
    When the worker announces that it warms up for 3 s
    Then the controller and the gateway both count 1 worker that warms up

  Scenario: All gateways together send a worker that warms up no more than it can take
    Given a fleet of 5 zones with 20 gateways and 33 workers each, 70% of all slots in use
    When the gateways serve for 5 seconds
    And all workers of a zone turn cold for 3 s, and all gateways are told
    And the gateways serve for 4 seconds
    Then no cold worker has got more than 12 requests within a second
    And the cold workers have got at least 70% of what they can take

  Scenario: An order about a zone that the settings don't name is refused
    Given a system with a worker whose service has a limit during warm-up
    When the operator orders the evacuation of the zone "nowhere"
    Then the call is answered with 404

  Scenario: An order that is in force already is confirmed again
    Given a system with a worker whose service has a limit during warm-up
    When the operator starts the evacuation of the zone
    And the operator starts the evacuation of the zone
    Then the call is answered with 200
    And the evacuations are listed as '[{"cell":"c1","state":"evacuated"}]'

  Scenario: A zone is open again once its workers have had time to warm up
    Given a system with a worker whose service has a limit during warm-up
    When the operator starts the evacuation of the zone
    And the operator ends the evacuation of the zone
    Then the evacuations are listed as '[{"cell":"c1","state":"returning"}]'
    When 7 s pass
    Then the evacuations are listed as '[]'
    When the worker announces that it warms up for 0 s
    And 5 requests are sent
    Then each is answered with 200

  Scenario: A request for a worker that turns cold is held back right before it is sent
    Given a system with a worker whose service has a limit during warm-up
    When 5 requests are sent at once
    Then each is answered with 200
    When the worker announces that it warms up for 3 s
    And 5 requests are sent at once
    Then at most 1 of them is answered with 200, and the worker has received as many more

  Scenario Outline: What a controller knows of a warm-up
    Given a controller that knows a worker as <known>
    When <event>
    Then it counts <count> worker that warms up, and has posted <posts>

    Examples:
      | known             | event                                                           | count | posts           |
      | warm              | a heartbeat announces 3 s                                       | 1     | an update       |
      | warm              | a heartbeat announces 3 s, and comes with an age of 4 s         | 0     | nothing         |
      | cold for 3 s      | 1 s later a heartbeat announces 2 s                             | 1     | nothing         |
      | cold for 3 s      | 1 s later a heartbeat announces 0 s                             | 0     | an update       |
      | cold for 3 s      | 1 s later a heartbeat announces 3 s                             | 1     | an update       |
      | cold for 3 s      | an older heartbeat announces 0 s                                | 1     | nothing         |
      | cold for 3 s      | 4 s later nothing has come                                      | 0     | nothing         |
      | warm              | it is restored from a file that says cold for 3 s               | 1     | an update       |

  Scenario Outline: The bound holds over all gateways, whatever restarts and whoever chose the senders
    Given a model of 40 gateways that send to a worker as often as they may
    When <event>, with 30 seeds
    Then the worker gets at least 2 and at most 6 requests in its busiest second, where 12 are allowed
    And without <part>, the model finds more than 6

    Examples:
      | event                                                                          | part                                              |
      | a worker starts cold, and two controllers choose senders without each other    | the choice of senders                             |
      | a worker starts cold, and two controllers choose senders without each other    | the wait of restarted gateways                    |
      | a known worker turns cold unnoticed while its zone is evacuated, and it ends   | the caution after an evacuation                   |
      | a known worker turns cold unnoticed while its zone is evacuated, and it ends   | the choice of senders                             |
