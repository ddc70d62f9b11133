Feature: Write-ahead log of the control state
  A start trusts the log only if it provably holds every record ever acknowledged. Otherwise the state is unverified until the replica has caught up.

  Scenario: 1,400 routes, changed 800 times
    Given a log that holds a state of 1400 routes of 600 bytes
    When 800 route changes are appended, some of them concurrently
    Then the folder never holds more than 5 times the state, and a change writes less than a hundredth of the state on average
    And a start recovers exactly the state

  Scenario Outline: Damaged, missing and misplaced files on a real disk
    Given a log that holds a state of 20 routes of 600 bytes
    When 5 route changes are appended, one after the other
    And <damage>
    Then a start finds the log <result>
    And once a caught-up replica has written a verified snapshot, a start recovers exactly the state

    Examples:
      | damage                                                   | result     |
      | a byte of "increment-6.bin" is changed                   | unverified |
      | a byte of "increment-4.bin" is changed                   | unverified |
      | a byte of "snapshot-1.bin" is changed                    | unverified |
      | the file "increment-6.bin" is truncated                  | unverified |
      | the file "increment-4.bin" is deleted                    | unverified |
      | the file "snapshot-1.bin" is deleted                     | unverified |
      | "increment-5.bin" is copied to "increment-6.bin"         | unverified |
      | "increment-5.bin" is replaced by that of another log     | unverified |
      | the end of "increment-6.bin" is left in a temporary file | verified   |
      | all files are deleted                                    | empty      |

  Scenario: Records appended before the first verified snapshot are unverified
    Given an empty log
    When 3 route changes are appended, one after the other
    Then a start finds the log unverified
    And once a caught-up replica has written a verified snapshot, a start recovers exactly the state

  Scenario: A folder that can't be read
    Given a log that holds a state of 20 routes of 600 bytes
    When the folder is replaced by a file
    Then a start finds the log unverified

  Scenario: The names of a new folder and of its new parents are durable
    When a folder is created below two missing folders, twice
    Then each parent was synced after its child was created and before the next one, and the last parent again

  Scenario: A full disk
    When a disk has room for a state and 70 increments of 1 kB, and 100 are appended
    Then the increments that fit are written although no snapshot fits, except for at most 2 during a snapshot attempt, and the others are refused
    And once there is room again the next increment is written, and a start recovers exactly the state

  Scenario: Full, failing and slow disks, process kills and power losses, without corrupted files
    When 200 runs are simulated with seeds from 1
    Then every verified start had all acknowledged records
    And no start after a verified snapshot was unverified, unless reads failed or the disk was wiped, and no append failed on a recovered disk

  Scenario: Full, failing and slow disks, process kills and power losses, with corrupted files
    When 100 runs with corrupted files are simulated with seeds from 1
    Then every verified start had all acknowledged records

  Scenario Outline: The simulated runs detect a faulty log or disk
    When 50 runs with corrupted files are simulated with seeds from 1, with <fault>
    Then some verified start lacked an acknowledged record

    Examples:
      | fault                                              |
      | a load that reports unverified records as verified |
      | a disk that doesn't sync folders                   |
