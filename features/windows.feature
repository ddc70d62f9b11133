Feature: Planned maintenance windows of a cell
  A cell's requests are elsewhere before its window opens; what is in flight finishes where it is.

  Background:
    Given cells "c1, c2, c3" whose longest budget is 4 s, and a holder of the duty

  Scenario: The stages of a window, each in its time
    When a window of "c2" that opens in 60 s and lasts 30 s is added
    Then safe requests leave in steps before unsafe ones, and all are gone 4 s or more before it opens
    And it is clear before it opens, and open for 30 s
    And requests come back in steps, and no shift is left

  Scenario Outline: What can't be done is refused
    Given a window of "c2" that opens in 100 s and lasts 30 s is added
    When a window of "<zone>" that opens in <opens> s and lasts <lasts> s is asked for
    Then the window is refused with code "<code>"

    Examples:
      | zone | opens | lasts | code                   |
      | c9   | 300   | 30    | UNKNOWN_ZONE           |
      | c3   | 5     | 30    | WINDOW_TOO_SOON        |
      | c3   | 110   | 30    | WINDOW_OVERLAP         |
      | c3   | 300   | 1     | WINDOW_OUT_OF_RANGE    |
      | c1   | 300   | 30    | ZONE_NEEDED_FOR_QUORUM |

  Scenario Outline: The holder dies in each stage, and the next one goes on
    When a window of "c2" that opens in 60 s and lasts 30 s is added
    And it is "<stage>" and the holder dies, the next one having known the state
    Then the window still opens at its time, give or take 2 s, with the cell clear, and ends

    Examples:
      | stage     |
      | announced |
      | moving    |
      | clear     |

  Scenario: Every process is killed meanwhile: the window errs to the early side
    When a window of "c2" that opens in 90 s and lasts 30 s is added
    And 20 seconds later every process is killed and starts again
    Then the window opens early by 1 to 40 s, with the cell clear

  Scenario: Cancelled while moving, what has left comes back
    When a window of "c2" that opens in 60 s and lasts 30 s is added
    And it is "moving" and is cancelled
    Then it ends without ever having been open, and no shift is left

  Scenario: Extended while open
    When a window of "c2" that opens in 60 s and lasts 30 s is added
    And it is "open" and is extended by 20 s
    Then it was open for 50 s

  Scenario: A window goes before a practice, and waits for another cell's shift
    Given a practice shift of "c3" stands
    When a window of "c2" that opens in 60 s and lasts 30 s is added
    Then it moves at its time all the same
    Given a shift of "c3" by hand stands
    When a window of "c2" that opens in 60 s and lasts 30 s is added
    Then it doesn't move as long as that shift stands

  Scenario: A cell that stays dark past its end stays left alone
    When a window of "c2" that opens in 60 s and lasts 30 s is added
    And its workers go dark once it is open, and stay so
    Then 20 s past its end it is still open, and returns once they are back

  Scenario: The operator is warned when the other cells can't carry it
    Given service "s" has 9 calls in flight
    When a window of "c2" that opens in 60 s and lasts 30 s is added
    Then it is taken with a warning that names "s"
