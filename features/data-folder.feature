Feature: Migrating the data folder of a role's former name

  Scenario Outline: The folder of the former name is migrated as a whole
    Given a controller's state is in the folder "signalbox", with its workers and keys
    And the folder "controller" is <state>
    When the controller migrates the folder of its former name
    Then the whole state is in "controller", and "signalbox" no longer exists
    And the log reports that the folder was migrated

    Examples:
      | state   |
      | missing |
      | empty   |

  Scenario Outline: Each role has a former name
    Given a file is in the folder "<former>"
    When the <role> with the folder "<folder>" migrates the folder of its former name
    Then that file is in the folder "<folder>", and "<former>" no longer exists

    Examples:
      | role       | former           | folder            |
      | gateway    | pointsman        | gateway           |
      | cache      | depot            | cache             |
      | controller | signalbox-1.data | controller-1.data |

  Scenario Outline: Nothing is migrated
    Given a file is in the folder "<other>"
    And the folder "<folder>" is <state>
    When the controller with the folder "<folder>" migrates the folder of its former name
    Then that file is still in the folder "<other>"
    And the log is empty

    Examples:
      | other       | folder       | state     |
      | signalbox   | controller   | not empty |
      | depot       | controller   | empty     |
      | signalbox-2 | controller-1 | missing   |
      | signalbox   | box-1        | missing   |

  Scenario: An empty folder of the former name is left alone
    Given the folder "signalbox" is empty
    When the controller migrates the folder of its former name
    Then the folder "controller" is still missing
    And the log is empty

  Scenario: A machine without a disk
    When a controller without a data folder migrates the folder of its former name
    Then the file system is not accessed
    And the log is empty

  Scenario: A crash or a power loss at any step of the migration
    When a migration is interrupted at each of its steps, by a kill and by a power loss, in 40 simulated runs
    Then each next start reads the whole state, from the folder of the current name only
    And some of them read it after repeating the migration

  Scenario: The simulated runs detect a disk that doesn't sync the parent folder
    When power is lost right after a migration, in 40 simulated runs with a disk that doesn't sync folders
    Then some of them find the state under the former name again

  Scenario Outline: A file system error during the migration
    Given a controller's state is in the folder "signalbox", with its workers and keys
    When the controller migrates the folder of its former name, and the file system fails to <operation>
    Then the log reports that the folder was not migrated, with the cause
    And the controller starts with a new folder

    Examples:
      | operation               |
      | list the current folder |
      | list the former folder  |
      | rename                  |
