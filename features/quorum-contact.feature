Feature: A controller answers only after contact with a quorum since the request arrived

  Background:
    Given 3 running controllers, a configuration, and workers that send heartbeats

  Scenario Outline: A controller that <fault> rejects requests and node sessions from the first moment on
    When controller 3 <fault>
    Then controller 3 rejects every heartbeat, leave and query within 1 s, and every command and node session
    And controller 3 still reports the state of its replica, marked as its own view
    When the partition is healed and 3 s pass
    Then controller 3 accepts every heartbeat, leave and query within 1 s, and every command and node session

    Examples:
      | fault                           |
      | is partitioned from its peers   |
      | receives nothing from its peers |
      | can send nothing to its peers   |

  Scenario: A controller that resumes after a freeze rejects requests, and first sends nodes what changed meanwhile
    When controller 3 is frozen and partitioned for 6 s while the configuration changes to version 2
    And controller 3 resumes with overdue timers, still partitioned
    Then controller 3 rejects every heartbeat, leave and query within 1 s, and every command and node session
    When the partition is healed and 0 s pass
    Then the first updates that a node gets from controller 3 contain version 2

  Scenario: Concurrent heartbeats share a round of quorum contact
    When 60 workers send heartbeats to controller 1 at once
    Then all are acknowledged within 400 ms, with at most 6 quorum contact frames sent

  Scenario: A partitioned holder of the leader lease grants no retry lease, from the first moment on
    Given a node with a session at the holder of the leader lease gets a retry lease there
    When the holder of the leader lease is partitioned from its peers
    Then it grants the node no retry lease until the session ends

  Scenario Outline: A node whose controller <fault> loses its session in bounded time, and connects to another
    Given a node that knows only controller 3 has a session there
    When controller 3 <fault>
    Then the session ends within 1500 ms
    And within 3 s the node has a session with another controller, and the configuration

    Examples:
      | fault                           |
      | is partitioned from its peers   |
      | receives nothing from its peers |
      | can send nothing to its peers   |

  Scenario: A controller that resumes after a freeze first ends the sessions of its nodes
    Given a node that knows only controller 3 has a session there
    When controller 3 alone is frozen for 6 s and resumes with overdue timers
    Then the session ends within 350 ms

  Scenario: Without a quorum anywhere a node keeps its configuration, and reconnects without intervention
    Given a node that knows only controller 3 has a session there
    When every controller is partitioned from its peers
    Then the session ends within 1500 ms
    And for 5 s the node has no session, and keeps the configuration
    When the partition between controllers 1 and 2 is healed
    Then within 4 s the node has a session with another controller, and the configuration

  Scenario: A controller with open links that no quorum answers ends the sessions of its nodes
    Given a node that knows only controller 3 has a session there
    When only keep-alive frames reach controller 3
    Then the session ends within 4500 ms
    And controller 3 rejects every heartbeat, leave and query within 1 s, and every command and node session

  Scenario: A worker is not redirected to a controller that may be partitioned
    When controller 3 is partitioned from its peers
    Then a worker of zone "c3" that sends a heartbeat to controller 1 is redirected to "none"
    When the partition is healed and 3 s pass
    Then a worker of zone "c3" that sends a heartbeat to controller 1 is redirected to "controller 3"

  Scenario: A node whose seed nodes are all unreachable uses those of the reloaded settings
    Given a node whose seed nodes are all unreachable
    When its settings are reloaded with controller 2 as the seed node
    Then within 3 s the node has a session with another controller, and the configuration

  Scenario: A single broken link between controllers does not hide the nodes behind it
    Given a node that knows only controller 3 has a session there
    When the connection from controller 1 to controller 3 is reset
    Then 2 s later controller 1 lists that node

  Scenario: Old heartbeats from a peer that was partitioned make no worker ready
    When a peer shares a heartbeat of "w-old" that is 5 s old, and one of "w-older" that is 70 s old
    Then worker "w-old" is "missing" and worker "w-older" is "unknown"
    And a worker that could not be heard for 8 s is missing only 5 s after listening resumes

  Scenario: Operators see the voter set, the term and every controller, and the reason why one does not vote
    When controller 3 restarts with an empty disk and receives nothing from its peers
    Then controller 3 reports that its replica does not vote because "its disk is empty"
    And controller 1 reports voter set 1, a term, and that controller 3 does not answer

  Scenario: After the loss of a majority of the disks, recovery takes a first run with the operator's configuration
    When controllers 1 and 2 restart with empty disks together, and 4 s pass
    Then controller 3 rejects every heartbeat, leave and query within 1 s, and every command and node session
    And controller 1 reports that its replica does not vote because "its disk is empty", with a majority in reach
    When every controller is stopped and then started as a first run
    Then configuration version 1 with its original content gets 200

  Scenario: Different content under an agreed version is refused, the same content is acknowledged again
    Then configuration version 1 with different content gets 409 and "route r1 at version 1 is already agreed with another content"
    And configuration version 1 with its original content gets 200
