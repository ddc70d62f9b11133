Feature: What was written and sent before is read as it was meant

  Scenario: The control state of every copy is loaded with every value, and goes on
    Given three copies that start from the control state stored before
    Then each holds exactly what it held
    And each knows which of it was proposed together, and what was there before
    And what is in force is what was in force
    And a new order is confirmed by a quorum

  Scenario: The remembered workers are loaded with every value
    Then the workers remembered before are read as they were

  Scenario: A worker's call, what is shared of it and what nodes are told of it keep their form
    Then the heartbeats of before give the beats, the shared beats and the facts of before

  Scenario: The log of operation keys is loaded with every value
    Then the operation keys and purges of before are held

  Scenario: Every frame is read with every value, and written as before
    Then every frame of before is read as the message that it was
    And every message of before is written as the frame that it was

  Scenario: What one box sends is what it sent before
    Then a conversation of four boxes is word for word that of before

  Scenario: A member fed only with messages of before answers as before
    Then the member's answers are word for word those of before

  Scenario: The crew, the news and the beats that nodes and boxes are sent are taken as before
    Then what is taken from the crew, the news, the sessions and the beats of before is what was sent

  Scenario Outline: What the health subsystem reports, stores and answers is what it was before
    Then the reports, registers and answers of the "<part>" are word for word those of before

    Examples:
      | part                |
      | outlier detector    |
      | canary analysis     |
      | capacity forecast   |
      | maintenance windows |

  Scenario: What controllers forward to each other for operators keeps its form
    Then each forwarded order of before is read and packed again as the frame that it was
    And each answer to a forwarded order of before is read and packed again as the frame that it was
    And each kind of message that was forwarded before still has its name

  Scenario: Requests for objects, the server's answers and what a client makes of them keep their form
    Then requests for objects are packed as before
    And the object server's answers are word for word those of before
    And the object client makes of the replies of before what it made of them

  Scenario: A controller and nodes of any version take each other's messages
    Then a controller and six nodes say to each other what they said before
    And a node says to controllers and its relay what it said before
    And a controller greets its peers, and takes their greeting, as before
