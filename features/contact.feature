Feature: A signalbox says nothing of the fleet without a majority heard after the question

  Background:
    Given 3 signalboxes that stand, a plan, and workers that beat

  Scenario Outline: From the moment that it <is cut>, it acknowledges nothing, tells nothing and feeds nobody
    When box 3 <is cut>
    Then box 3 says "no" within 1 s to every beat, leave, tell, order and hello
    And box 3 still tells of its own copy, and that this is its own view
    When the cut is healed for 3 s
    Then box 3 says "yes" within 1 s to every beat, leave, tell, order and hello

    Examples:
      | is cut              |
      | neither hears nor is heard |
      | hears nobody        |
      | is heard by nobody  |

  Scenario: One that has just thawed says nothing either, and feeds first what was changed meanwhile
    When box 3 is frozen for 6 s, and the plan is changed to version 2 meanwhile
    And box 3 thaws, its timers late, and still cut off
    Then box 3 says "no" within 1 s to every beat, leave, tell, order and hello
    When the cut is healed for 0 s
    Then the first feed of a node at box 3 holds version 2

  Scenario: A crowd of beats shares a round
    When 60 workers beat at box 1 at once
    Then all are acknowledged within 400 ms, and at most 6 frames of contact were sent

  Scenario: A holder of the duty that is cut off gives no lease, from the first moment on
    Given a node with a session at the holder of the duty gets a lease there
    When the holder neither hears nor is heard
    Then no lease is given there until its session ends

  Scenario Outline: A node whose signalbox <is cut> is let go within a stated bound, and finds another by itself
    Given a node that knows box 3 alone has a session there
    When box 3 <is cut>
    Then the session is over within 1500 ms
    And within 3 s the node has one at another box, and knows the plan

    Examples:
      | is cut              |
      | neither hears nor is heard |
      | hears nobody        |
      | is heard by nobody  |

  Scenario: A frozen signalbox that thaws lets its nodes go before it does anything else
    Given a node that knows box 3 alone has a session there
    When box 3 thaws after 6 s that only it slept through, its timers late
    Then the session is over within 350 ms

  Scenario: With no majority anywhere a node serves on with what it knows, and comes back by itself
    Given a node that knows box 3 alone has a session there
    When every box neither hears nor is heard
    Then the session is over within 1500 ms
    And for 5 s the node has none, and knows the plan
    When the cut between boxes 1 and 2 is healed
    Then within 4 s the node has one at another box, and knows the plan

  Scenario: A signalbox whose links stand, but which no majority answers, lets its nodes go
    Given a node that knows box 3 alone has a session there
    When only pulses come through to box 3
    Then the session is over within 4500 ms
    And box 3 says "no" within 1 s to every beat, leave, tell, order and hello

  Scenario: A worker is sent to no signalbox that may be cut off
    When box 3 neither hears nor is heard
    Then a worker of "c3" that beats at box 1 is sent to ""
    When the cut is healed for 3 s
    Then a worker of "c3" that beats at box 1 is sent to "box 3"

  Scenario: A node all of whose signalboxes are gone takes the seeds of a changed settings file
    Given a node whose seeds are gone
    When its settings file names box 2
    Then within 3 s the node has one at another box, and knows the plan

  Scenario: A link that breaks alone doesn't make the nodes behind it forgotten
    Given a node that knows box 3 alone has a session there
    When the connection that box 1 has dialled to box 3 is reset
    Then 2 s later box 1 tells of that node

  Scenario: What a colleague that was cut off tells of workers long gone makes none of them ready
    When a beat of "w-old" is shared that is 5 s old, and one of "w-older" that is 70 s old
    Then "w-old" is "missing" and "w-older" is "unknown"
    And workers that couldn't be heard for 8 s are no more missing than before

  Scenario: Operators see the roster, the term and every box, with why one doesn't count
    When box 3 starts anew without its disk, and hears nobody
    Then box 3 tells that its copy doesn't count since "its disk is empty"
    And box 1 tells of roster 1, of a term, and that box 3 is unseen

  Scenario: With a majority lost for good nothing is forced; a first run with the operator's copy of the plan is the way on
    When boxes 1 and 2 lose their disks together, and 4 s pass
    Then box 3 says "no" within 1 s to every beat, leave, tell, order and hello
    And box 1 tells that its copy doesn't count since "its disk is empty", though its links reach a majority
    When every box is stopped, and then started as for the first time
    Then version 1 as it was gets 200

  Scenario: Another content under a number that is agreed is refused with one line, the same one is acknowledged again
    Then version 1 with another content gets 409 and "route r1 at version 1 is already agreed with another content"
    And version 1 as it was gets 200
