Feature: Data and messages of earlier versions remain compatible

  Scenario: The state of every replica is loaded with every value, and accepts new writes
    Given three replicas that start from the state stored by an earlier version
    Then each replica holds exactly the recorded state
    And each replica holds the recorded history of writes proposed together and of earlier values
    And the committed registers and the voter set are the recorded ones
    And a new write is confirmed by a quorum

  Scenario: Stored workers are loaded with every value
    Then the workers stored by an earlier version are read with every value

  Scenario: Heartbeats of workers, shared heartbeats and the updates for nodes keep their format
    Then the recorded heartbeats result in the recorded worker states, shared heartbeats and updates

  Scenario: The log of idempotency keys is loaded with every value
    Then the stored idempotency keys and purges are loaded

  Scenario: Every frame is decoded with every value and encoded as recorded
    Then every recorded frame is decoded to the recorded message
    And every recorded message is encoded to the recorded frame

  Scenario: Controllers send each other the recorded messages
    Then a conversation of four controllers is identical to the recorded one

  Scenario: A controller that receives only recorded messages answers as recorded
    Then the controller's answers are identical to the recorded ones

  Scenario: Cluster sizes, updates, sessions and heartbeats in messages to nodes and controllers are read as recorded
    Then cluster sizes, updates, sessions and heartbeats are read from the recorded messages as they were sent

  Scenario Outline: The reports, stored registers and answers of the health subsystem keep their format
    Then the reports, registers and answers of the "<part>" are identical to the recorded ones

    Examples:
      | part                |
      | outlier detector    |
      | canary analysis     |
      | capacity forecast   |
      | maintenance windows |

  Scenario: Requests of operators that controllers forward to each other keep their format
    Then every recorded forwarded request is decoded and encoded again to the recorded frame
    And every recorded response to a forwarded request is decoded and encoded again to the recorded frame
    And every recorded kind of forwarded message still exists under its name

  Scenario: Object requests, the object server's answers and the client's results keep their format
    Then requests for objects are encoded as recorded
    And the object server's answers are identical to the recorded ones
    And the object client turns the recorded replies into the recorded results

  Scenario: Controllers and nodes of different versions understand each other
    Then the messages between a controller and six nodes are the recorded ones
    And the messages of a node to controllers and its relay are the recorded ones
    And a controller sends its peers the recorded hello and reads theirs as recorded
