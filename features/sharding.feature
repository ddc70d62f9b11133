Feature: The keys of a sharded service are divided among its workers

  @known-red
  Scenario: Workers that hold no keys are granted all of them, and an added route to their service is served
    Given a system with a sharded service and 3 workers that hold no keys
    When the workers send heartbeats for 8 seconds
    Then every key is held by exactly one worker
    When a route to the sharded service is added
    Then requests for 24 keys on it are served
