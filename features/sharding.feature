Feature: The keys of a sharded service are divided among its workers

  Scenario: Workers that hold no keys are granted all of them, and an added route to their service is served
    Given a system with a sharded service and 3 workers that hold no keys
    When the workers send heartbeats for 8 seconds
    Then every key is held by exactly one worker
    When a route to the sharded service is added
    Then requests for 24 keys on it are served

  Scenario: The keys of a silent worker are granted to others only after its lease has expired
    Given a system with a sharded service and 3 workers that hold no keys
    And the workers send heartbeats for 8 seconds
    When worker "w-2" sends no heartbeats for 16 seconds
    Then every key is held by exactly one worker
    And worker "w-2" holds no key

  Scenario: A draining worker hands its keys over, with the token of its state
    Given a system with a sharded service and 3 workers that hold no keys
    And the workers send heartbeats for 8 seconds
    When worker "w-2" drains for 3 seconds
    Then every key is held by exactly one worker
    And worker "w-2" holds no key
    And its keys were handed over with its token, at a higher fence

  Scenario: A worker that joins takes over a part of the keys of a loaded one
    Given a system with a sharded service and 3 workers that hold no keys
    And the workers send heartbeats for 8 seconds
    And worker "w-3" drains for 3 seconds
    When worker "w-4" joins and the workers send heartbeats for 4 seconds
    Then every key is held by exactly one worker
    And worker "w-4" holds keys

  Scenario: An empty worker that is added gets keys although no other worker has more than its share
    Given a system with a sharded service and 3 workers that hold no keys
    And the workers send heartbeats for 8 seconds
    When worker "w-4" joins and the workers send heartbeats for 4 seconds
    Then every key is held by exactly one worker
    And worker "w-4" holds keys

  Scenario: A service whose keys can't be granted by heartbeats, and invalid ranges, are refused
    Given a system with a sharded service and 1 workers that hold no keys
    Then a sharded service that wants grants by calls is refused with a reason
    And a heartbeat with invalid ranges is refused

  Scenario: A request to a sharded service without a valid shard key is refused
    Given a system with a sharded service and 1 workers that hold no keys
    And the workers send heartbeats for 8 seconds
    Then requests with the shard keys "", "65536", "-1" and "1.5" get 400

  Scenario: A release from before a worker became the owner, or while it still holds keys, doesn't count
    Then a release with an earlier call count does not count
    And a release of only a part of the range does not count
    And a release by a worker that still works on the range does not count
    And a complete later release counts, with its token
    And without a release the range is free 5% after the hold has passed

  Scenario: Every plan covers all keys once, and fences never fall
    Then 400 random plans with joining, leaving and releasing workers keep both conditions
