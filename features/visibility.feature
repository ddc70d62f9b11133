Feature: A change is acknowledged once it is on its way to every node

  Scenario: The acknowledgement waits for the connected controllers, and for none that is cut off
    Given a controller with peers "b" and "c" that are connected and "d" that isn't
    When a change is committed and its acknowledgement waits
    Then "b" and "c" are asked whether they have posted it, and "d" is not
    When "b" answers
    Then the acknowledgement still waits
    When "c" answers nothing until its time-out
    Then the change is acknowledged, 300 ms after the question at most

  Scenario: A controller that is behind answers once it has caught up
    Given a controller that reads what others hold
    When a peer asks whether it has posted what is committed
    Then it answers nothing yet
    When the reading ends
    Then it answers
