Feature: The operator's command line

  Scenario: The next controller is tried when one does not answer
    Given controllers that answer "nothing, 200"
    When the nodes are queried
    Then the answer is that of controller 2

  Scenario: The next controller is tried when one answers 503
    Given controllers that answer "503, 200"
    When the nodes are queried
    Then the answer is that of controller 2

  Scenario: A rejection is not retried at another controller
    Given controllers that answer "409, 200"
    When the nodes are queried
    Then it fails with code "REJECTED" and exit code 1, saying "409: no"
    And controller 2 was not called

  Scenario: No controller answers
    Given controllers that answer "503, nothing"
    When the nodes are queried
    Then it fails with code "UNREACHABLE" and exit code 3, saying "cannot be reached"

  Scenario: No controller is given
    Given controllers that answer ""
    When the nodes are queried
    Then it fails with code "INVALID_INPUT" and exit code 2, saying "no controller is named"

  Scenario: A redirect is followed with the same method and body
    Given controllers that answer "307, 200"
    When a change is posted
    Then the answer is that of controller 2
    And controller 2 got the same method and body as controller 1

  Scenario: A redirect loop is aborted
    Given controllers that answer "307"
    When a change is posted
    Then it fails with code "REJECTED" and exit code 1, saying "307"

  Scenario: Workers to add are parsed from command line arguments
    Given controllers that answer "200"
    When the command "backends forecast --add pay@c1*3 menu@c2" is run
    Then the body sent to controller 1 has "add" as '[{"service":"pay","cell":"c1","count":3},{"service":"menu","cell":"c2","count":1}]'

  Scenario Outline: A zone is evacuated, and taken back, by its name
    Given controllers that answer "200"
    When the command "<command>" is run
    Then controller 1 was called at "<path>"

    Examples:
      | command                | path               |
      | evacuate zone-b        | /evacuate/zone-b/start |
      | evacuate zone-b --end  | /evacuate/zone-b/end   |

  Scenario: A table has the columns of all rows
    Then the rows '[{"id":"a"},{"id":"bb","zone":"c1"}]' are printed as
      """
      id  zone
      a
      bb  c1
      """
