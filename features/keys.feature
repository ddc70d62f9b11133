Feature: Operation keys
  Whatever is lost within what must be borne, no two tries of a key win within the window.

  Background:
    Given 5 signalboxes that must bear the loss of 2, with a full roster

  Scenario: One try wins, a later one learns that the key is at work, then gets the answer
    When try "one" claims key "k" at box 1
    And try "two" claims key "k" at box 4
    Then the verdicts are "won, working"
    When try "one" keeps the answer "served by one" at box 1
    And try "three" claims key "k" at box 5
    Then the last verdict is "done" with "served by one"

  Scenario: Two tries at the same moment at two boxes: at most one wins, and with tokens taken back one does
    When tries "a" and "b" claim key "k" at boxes 2 and 3 at the same moment
    Then at most one of them won
    When both losers take their tokens back and "c" claims key "k" at box 1
    Then exactly one try of "k" has ever won

  Scenario: A token taken back leaves the key to the next try
    When try "one" claims key "k" at box 1
    And try "one" takes its token back at box 1
    And try "two" claims key "k" at box 2
    Then the verdicts are "won, won"

  Scenario: The claimant dies after winning: nobody else runs it
    When try "one" claims key "k" at box 1
    And the claimant, box 1, dies
    And try "two" claims key "k" at box 2
    Then the verdicts are "won, working"

  Scenario: Disks wiped between the claim and the repeat
    When try "one" claims key "k" at box 1
    And boxes 1 and 2 lose their disks and start again
    And try "two" claims key "k" at box 1
    Then the last verdict is not "won"
    When the boxes have had time to catch up
    And try "three" claims key "k" at box 2
    Then the last verdict is "working"

  Scenario: Every process is killed: the answer is still there
    When try "one" claims key "k" at box 1
    And try "one" keeps the answer "served by one" at box 1
    And all are killed and start again
    And try "two" claims key "k" at box 3
    Then the last verdict is "done" with "served by one"

  Scenario: A torn end of the log costs only what was never acknowledged
    When try "one" claims key "k" at box 1
    And every log is torn at its end and every signalbox starts again
    And try "two" claims key "k" at box 2
    Then the last verdict is "working"

  Scenario: A claim lasts for the window and no shorter, counted anew after a restart
    When try "one" claims key "k" at box 1
    And the clock moves on by 50 s
    And all are killed and start again
    And the clock moves on by 40 s
    And try "two" claims key "k" at box 2
    Then the last verdict is "working"
    When the clock moves on by 60 s
    And try "three" claims key "k" at box 2
    Then the last verdict is "won"

  Scenario: Without a quorum nobody wins
    When boxes 3, 4 and 5 are cut off
    And try "one" claims key "k" at box 1
    Then the last verdict is "none"

  Scenario: A full log refuses new keys and forgets none
    Given 3 signalboxes that must bear the loss of 1, with logs of 20000 bytes
    When try "one" claims key "k" at box 1
    And new keys are claimed until one is refused
    Then try "two" of key "k" at box 2 is told "working"

  Scenario: A purge acknowledged anywhere is known wherever a reading quorum was read
    When boxes 4 and 5 are cut off
    And a purge of label "t1" is acknowledged at box 1
    And box 4 is joined again and box 1 is killed
    And box 4 reads the purges
    Then box 4 knows the purge of label "t1"
    When all are killed and start again
    Then box 2 knows the purge of label "t1"

  Scenario: What is gathered under a roster that was replaced counts for nothing
    When the others leave boxes 1 and 5 out of the roster while box 1 is cut off
    Then a purge at box 1 is refused, and taken when it is sent again

  Scenario: Half of four copies lose their disks, and the system comes back
    Given 4 signalboxes that must bear the loss of 2, with a full roster
    When try "one" claims key "k" at box 1
    And boxes 1 and 2 lose their disks and start again
    And the boxes have had time to catch up
    And try "two" claims key "k" at box 3
    Then the last verdict is "working"

  Scenario: A wiped copy that dies again before it has caught up still doesn't count
    When try "one" claims key "k" at box 1
    And boxes 1 and 2 lose their disks and start again
    And a purge of label "t1" is acknowledged at box 3
    And boxes 1 and 2 are killed and start again
    Then box 1 takes no claims before it has caught up
    When the boxes have had time to catch up
    And try "two" claims key "k" at box 1
    Then the last verdict is "working"
