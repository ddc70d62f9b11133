Feature: Idempotency keys
  As long as no more controllers are lost than must be withstood, at most one attempt per key wins within the window.

  Background:
    Given 5 controllers that must withstand the loss of 2, all of them voters

  Scenario: One attempt wins; a later one is told that the key is in progress, and after that gets the stored response
    When attempt "one" claims key "k" through controller 1
    And attempt "two" claims key "k" through controller 4
    Then the results are "won, working"
    When attempt "one" stores the response "served by one" through controller 1
    And attempt "three" claims key "k" through controller 5
    Then the last result is "done" with "served by one"

  Scenario: Of two concurrent attempts at most one wins, and a further attempt leaves exactly one winner once the tokens are released
    When attempts "a" and "b" claim key "k" through controllers 2 and 3 at the same time
    Then at most one of them won
    When the attempts that did not win release their tokens and "c" claims key "k" through controller 1
    Then exactly one attempt for "k" has ever won

  Scenario: A released token leaves the key to the next attempt
    When attempt "one" claims key "k" through controller 1
    And attempt "one" releases its token through controller 1
    And attempt "two" claims key "k" through controller 2
    Then the results are "won, won"

  # Guards against keys that stay refused as at work, although the gateway that claimed them gave
  # the claim up: its release was lost with the controllers.
  Scenario: A token given up while all controllers are down is released once they are back
    When a gateway's claim of key "k" succeeds while all controllers are killed, and it gives up the token "one"
    And all controllers are started again
    And attempt "two" claims key "k" through controller 2
    Then the last result is "won"

  # Guards against responses that were sent to the client, and are lost because no controller was
  # there to store them.
  Scenario: A response that could not be stored while all controllers were down is stored once they are back
    When attempt "one" claims key "k" through controller 1
    And all controllers are killed before a gateway stores the response "served by one" of token "one" for key "k"
    And all controllers are started again
    And attempt "two" claims key "k" through controller 2
    Then the last result is "done" with "served by one"

  Scenario: When the controller that claimed a key is killed, no other attempt wins
    When attempt "one" claims key "k" through controller 1
    And controller 1, which claimed the key, is killed
    And attempt "two" claims key "k" through controller 2
    Then the results are "won, working"

  Scenario: A claim survives the loss of two disks between the claim and the next attempt
    When attempt "one" claims key "k" through controller 1
    And controllers 1 and 2 lose their disks and restart
    And attempt "two" claims key "k" through controller 1
    Then the last result is not "won"
    When the controllers have had time to catch up
    And attempt "three" claims key "k" through controller 2
    Then the last result is "working"

  Scenario: A stored response survives a kill of every process
    When attempt "one" claims key "k" through controller 1
    And attempt "one" stores the response "served by one" through controller 1
    And all controllers are killed and restarted
    And attempt "two" claims key "k" through controller 3
    Then the last result is "done" with "served by one"

  Scenario: A torn record at the end of the log loses no acknowledged claim
    When attempt "one" claims key "k" through controller 1
    And the log of every controller ends in a torn record and every controller restarts
    And attempt "two" claims key "k" through controller 2
    Then the last result is "working"

  Scenario: A claim lasts for the whole window, which starts anew after a restart
    When attempt "one" claims key "k" through controller 1
    And the clock advances by 50 s
    And all controllers are killed and restarted
    And the clock advances by 40 s
    And attempt "two" claims key "k" through controller 2
    Then the last result is "working"
    When the clock advances by 60 s
    And attempt "three" claims key "k" through controller 2
    Then the last result is "won"

  Scenario: Without a quorum no attempt wins
    When controllers 3, 4 and 5 are partitioned
    And attempt "one" claims key "k" through controller 1
    Then the last result is "none"

  Scenario: A full log rejects new keys and keeps all earlier ones
    Given 3 controllers that must withstand the loss of 1, with logs of 20000 bytes
    When attempt "one" claims key "k" through controller 1
    And new keys are claimed until one is rejected
    Then attempt "two" for key "k" through controller 2 gets the result "working"

  Scenario: An acknowledged purge is known to every controller that has read from a quorum
    When controllers 4 and 5 are partitioned
    And a purge of label "t1" is acknowledged by controller 1
    And controller 4 is reconnected and controller 1 is killed
    And controller 4 reads the purges
    Then controller 4 knows the purge of label "t1"
    When all controllers are killed and restarted
    Then controller 2 knows the purge of label "t1"

  # Guards against purges that controllers read back from each other, each time as if they were new.
  Scenario: A purge is forgotten by all controllers after its retention period, and not before
    When a purge of label "t1" is acknowledged by controller 1
    And 58 s pass, in which the controllers read purges and remove expired ones in turn
    Then controller 4 knows the purge of label "t1"
    When 8 s pass, in which the controllers read purges and remove expired ones in turn
    Then no controller knows a purge

  Scenario: Votes gathered under a replaced voter set do not count
    When the others remove controllers 1 and 5 from the voter set while controller 1 is partitioned
    Then a purge through controller 1 is rejected, and accepted when it is sent again

  Scenario: A claim survives when half of four replicas lose their disks
    Given 4 controllers that must withstand the loss of 2, all of them voters
    When attempt "one" claims key "k" through controller 1
    And controllers 1 and 2 lose their disks and restart
    And the controllers have had time to catch up
    And attempt "two" claims key "k" through controller 3
    Then the last result is "working"

  Scenario: A replica that lost its disk and restarts again before it has caught up still does not vote
    When attempt "one" claims key "k" through controller 1
    And controllers 1 and 2 lose their disks and restart
    And a purge of label "t1" is acknowledged by controller 3
    And controllers 1 and 2 are killed and restarted
    Then controller 1 does not vote on claims before it has caught up
    When the controllers have had time to catch up
    And attempt "two" claims key "k" through controller 1
    Then the last result is "working"

  # Guards against a controller that gets the keys back after losing its disk, but not the bodies
  # of their responses: later losses, each within the limit, then took the last body.
  Scenario Outline: Stored responses survive disks that are lost one after the other, each after catching up
    Given <controllers> controllers that must withstand the loss of 2, all of them voters
    When 20 keys get responses of <bytes> bytes
    And controllers <first> and <second> lose their disks and restart
    And 6 s pass, in which the controllers do their periodic work
    And controller <third> loses its disk and restarts
    And 6 s pass, in which the controllers do their periodic work
    Then every controller returns the response of every key

    Examples:
      | controllers | bytes | first | second | third |
      | 4           | 1500  | 1     | 2      | 3     |
      | 4           | 200   | 2     | 3      | 1     |
      | 5           | 9000  | 1     | 2      | 3     |
      | 5           | 1500  | 4     | 5      | 2     |

  Scenario: No random choice of lost disks within the limit loses acknowledged state
    When 30 seeds of disks lost in turn are run with the repair
    Then no acknowledged state is lost

  Scenario: Without the repair of responses, disks lost in turn lose acknowledged state
    When 5 seeds of disks lost in turn are run without the repair
    Then acknowledged state is lost

  Scenario: An operation that has completed without a stored response is not said to be in progress
    When attempt "one" claims key "k" through controller 1
    And every controller is told that attempt "one" has completed key "k", without the body
    And attempt "two" claims key "k" through controller 2
    Then the last result is "unavailable"

  # Guards against 409 for an answered key: those that took part in the claim knew of no response, one
  # because its disk was just lost, the others because they had missed it.
  Scenario: A response is found although the replicas that refuse the repeat do not know it
    When attempt "one" claims key "k" through controller 1
    And controllers 4 and 5 are partitioned
    And attempt "one" stores the response "served by one" through controller 1
    And controllers 4 and 5 are reconnected
    And controllers 1 and 2 lose their disks and restart
    And claims do not reach controller 3
    And attempt "two" claims key "k" through controller 4
    Then the last result is "done" with "served by one"

  # Guards against repeated calls that store a response at other members than the first one did.
  Scenario: A response that is stored again without its body keeps the body
    When attempt "one" claims key "k" through controller 1
    And attempt "one" stores the response "served by one" through controller 1
    And every controller is told that attempt "one" has completed key "k", without the body
    And all controllers are killed and restarted
    And attempt "two" claims key "k" through controller 3
    Then the last result is "done" with "served by one"

  # Guards against a claim that lost, whose release never came, and which kept the response out.
  Scenario: A claim that lost does not keep out the response of the one that won
    When controllers 4 and 5 take the token "lost" for key "k", which is never released
    And attempt "one" claims key "k" through controller 1
    Then the last result is "won"
    When attempt "one" stores the response "served by one" through controller 1
    Then every controller knows that key "k" belongs to "one" and has completed

  Scenario: A table is copied in pages of bounded size, and in one message by an earlier version
    Given 3 controllers that must withstand the loss of 1, all of them voters
    When controller 1 holds 4000 keys without responses
    Then controller 1 sends its 4000 keys in 3 pages, and in one message to an earlier version

  # Guards against a replica that never votes again, since each copy that is interrupted begins anew.
  Scenario: A replica catches up although every copy of a table is interrupted after one page
    Given 3 controllers that must withstand the loss of 1, all of them voters
    When controllers 1 and 2 hold 8000 keys without responses
    And controller 3 loses its disk and restarts
    And every second request to a controller for a page of a table is lost
    And 6 s pass, in which the controllers do their periodic work
    Then controller 3 votes on claims and holds 8000 keys

  # Guards against copies that take the space which answers of accepted claims need.
  Scenario: A replica whose log is nearly full copies no responses, and refuses claims before they run
    Given 3 controllers that must withstand the loss of 2, with logs of 40000 bytes
    When 5 keys get responses of 1500 bytes
    And controller 1 loses its disk and restarts
    And the log of controller 1 is filled with keys
    And 6 s pass, in which the controllers do their periodic work
    Then controller 1 copies no response, refuses new keys and knows that 5 bodies are missing
