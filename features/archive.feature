Feature: The control state on disk
  A start goes by what it finds only with proof that nothing ever kept is missing; all else is unverified until caught up.

  Scenario: 1,400 routes, changed 800 times
    Given a folder that keeps a state of 1400 routes of 600 bytes
    When 800 changes of a route are kept, some of them at once
    Then never more than 5 times the state lies in the folder, and under a hundredth of the state was written a change
    And a start finds exactly the state

  Scenario Outline: A file that is not as it was written, on a real disk
    Given a folder that keeps a state of 20 routes of 600 bytes
    When 5 changes of a route are kept, one after the other
    And <harm>
    Then a start finds it <found>
    And once a caught-up copy has vouched for the whole, a start finds exactly the state

    Examples:
      | harm                                                    | found      |
      | a byte of "increment-6.bin" is changed                  | unverified |
      | a byte of "increment-4.bin" is changed                  | unverified |
      | a byte of "snapshot-1.bin" is changed                   | unverified |
      | "increment-6.bin" is cut short                          | unverified |
      | the file "increment-4.bin" is gone                      | unverified |
      | the file "snapshot-1.bin" is gone                       | unverified |
      | "increment-5.bin" lies under the name "increment-6.bin" | unverified |
      | "increment-5.bin" is that of another chain              | unverified |
      | the end of "increment-6.bin" lies under an aside name   | verified   |
      | all files are gone                                      | empty      |

  Scenario: What is kept before the whole is vouched for is no proof
    Given a folder that nothing was ever kept in
    When 3 changes of a route are kept, one after the other
    Then a start finds it unverified
    And once a caught-up copy has vouched for the whole, a start finds exactly the state

  Scenario: A folder that can't be read
    Given a folder that keeps a state of 20 routes of 600 bytes
    When a file lies where the folder was
    Then a start finds it unverified

  Scenario: The names of the folder and of its parents last
    When a folder is made below two that are missing, and once more
    Then each parent was synced after its child was made and before the next one, and the lowest again

  Scenario: A disk that is full
    When a disk has room for a state and 70 increments of 1 kB, and 100 are kept
    Then those that have room are kept though no snapshot fits, but for at most 2 beside a try of one, and the others are refused
    And once there is room again the next one is kept, and a start finds exactly the state

  Scenario: Full, refusing and slow disks, kills and losses of power, and no file spoiled
    When 200 histories are played by seed, from 1
    Then every start that found it verified held all that was kept
    And no start was unverified once the whole was vouched for, but where the disk refused to be read or was wiped

  Scenario: The same with spoiled files
    When 100 histories with spoiled files are played by seed, from 1
    Then every start that found it verified held all that was kept

  Scenario Outline: The check of histories catches an archive that is wrong
    When 50 histories with spoiled files are played by seed, from 1, with <fault>
    Then some start that found it verified lacked what was kept

    Examples:
      | fault                                     |
      | a load that falls back and calls it verified |
      | a disk that forgets to sync folders       |
