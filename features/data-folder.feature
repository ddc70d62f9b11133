Feature: Taking over the data folder of a role's earlier name

  Scenario Outline: The state under the earlier name is taken over whole
    Given a controller's state lies in the folder "signalbox", with its workers and keys
    And the folder "controller" is <own>
    When the controller looks for the folder of its earlier name
    Then the whole state lies in "controller", and "signalbox" is gone
    And the log says that the folder was taken over

    Examples:
      | own     |
      | missing |
      | empty   |

  Scenario Outline: Each role knows its earlier name
    Given a file lies in the folder "<former>"
    When the <role> of the folder "<folder>" looks for the folder of its earlier name
    Then that file lies in the folder "<folder>", and "<former>" is gone

    Examples:
      | role       | former           | folder            |
      | gateway    | pointsman        | gateway           |
      | cache      | depot            | cache             |
      | controller | signalbox-1.data | controller-1.data |

  Scenario Outline: Nothing is taken over
    Given a file lies in the folder "<other>"
    And the folder "<folder>" is <own>
    When the controller of the folder "<folder>" looks for the folder of its earlier name
    Then that file still lies in the folder "<other>"
    And the log says nothing

    Examples:
      | other       | folder       | own         |
      | signalbox   | controller   | not empty   |
      | depot       | controller   | empty       |
      | signalbox-2 | controller-1 | missing     |
      | signalbox   | box-1        | missing     |

  Scenario: An empty folder of the earlier name is left alone
    Given the folder "signalbox" is empty
    When the controller looks for the folder of its earlier name
    Then the folder "controller" is still missing
    And the log says nothing

  Scenario: A machine without a disk
    When a controller without a data folder looks for the folder of its earlier name
    Then the disk is asked nothing
    And the log says nothing

  Scenario: A crash or a loss of power at any step of the take-over
    When a take-over is cut off at each of its steps, by a kill and by a loss of power, in 40 histories
    Then each next start reads the whole state, under the own name alone
    And some of them read it after another take-over

  Scenario: The check of take-overs catches a disk that forgets to sync the parent folder
    When power is lost just after a take-over, in 40 histories with a disk that forgets to sync folders
    Then some of them find the state under the earlier name again

  Scenario Outline: A file system that refuses
    Given a controller's state lies in the folder "signalbox", with its workers and keys
    When the controller looks for the folder of its earlier name, and the file system refuses to <call>
    Then the log says that the folder was not taken over, with the cause
    And the controller starts with a folder of its own

    Examples:
      | call                |
      | list the own folder |
      | list the other one  |
      | rename              |
