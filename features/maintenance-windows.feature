Feature: Planned maintenance windows of a zone
  Traffic is shifted to other zones before the window opens. Requests in flight complete in the zone.

  Background:
    Given zones "c1, c2, c3" with a longest deadline of 4 s, and a leader

  Scenario: A window goes through its stages in time
    When a window of "c2" that opens in 60 s and lasts 30 s is added
    Then safe requests are shifted in steps before unsafe ones, and all of them 4 s or more before it opens
    And the zone is clear before the window opens, and the window is open for 30 s
    And requests return in steps, and no zonal shift remains

  Scenario Outline: A window that is not possible is rejected
    Given a window of "c2" that opens in 100 s and lasts 30 s is added
    When a window of "<zone>" that opens in <opens> s and lasts <lasts> s is requested
    Then the window is rejected with code "<code>"

    Examples:
      | zone | opens | lasts | code                   |
      | c9   | 300   | 30    | UNKNOWN_ZONE           |
      | c3   | 5     | 30    | WINDOW_TOO_SOON        |
      | c3   | 110   | 30    | WINDOW_OVERLAP         |
      | c3   | 300   | 1     | WINDOW_OUT_OF_RANGE    |
      | c1   | 300   | 30    | ZONE_NEEDED_FOR_QUORUM |

  Scenario Outline: The leader fails at any stage before the opening, and its successor continues
    When a window of "c2" that opens in 60 s and lasts 30 s is added
    And the leader fails at stage "<stage>" and a running controller that holds the state takes over
    Then the window still opens within 2 s of its time, with the zone clear, and ends

    Examples:
      | stage     |
      | announced |
      | moving    |
      | clear     |

  Scenario: After a restart of all processes the window opens early rather than late
    When a window of "c2" that opens in 90 s and lasts 30 s is added
    And 20 seconds later all processes are killed and restarted
    Then the window opens early by 1 to 40 s, with the zone clear

  Scenario: Cancelling a window while traffic is moving returns the shifted traffic
    When a window of "c2" that opens in 60 s and lasts 30 s is added
    And the window is cancelled at stage "moving"
    Then the window ends without having opened, and no zonal shift remains

  Scenario: An open window is extended
    When a window of "c2" that opens in 60 s and lasts 30 s is added
    And at stage "open" the window is extended by 20 s
    Then the window was open for 50 s

  Scenario: A window overrides a practice run, but waits for the manual shift of another zone
    Given a practice run shifts traffic away from "c3"
    When a window of "c2" that opens in 60 s and lasts 30 s is added
    Then traffic is shifted for the window despite the practice run
    Given a manual shift of "c3" is active
    When a window of "c2" that opens in 60 s and lasts 30 s is added
    Then no traffic is shifted for the window until the manual shift ends

  Scenario: A zone that is still down when its window should end receives no traffic
    When a window of "c2" that opens in 60 s and lasts 30 s is added
    And the zone's workers go down once the window is open
    Then the window is still open 20 s past its end, and ends once the workers are back

  Scenario: The operator is warned if the other zones lack the capacity for the traffic
    Given service "s" has 9 requests in flight
    When a window of "c2" that opens in 60 s and lasts 30 s is added
    Then the window is accepted with a warning about "s"
