Feature: The operator's calls are checked whole before anything of them holds

  Scenario Outline: A wrong call is refused with a short reason
    When a call is read that <flaw>
    Then it is refused as "<kind>"

    Examples:
      | flaw                               | kind       |
      | is cut short                       | unreadable |
      | is a list                          | unreadable |
      | has a route with an empty host     | wrong      |
      | has a path without a leading slash | wrong      |
      | gives up after eleven minutes      | wrong      |
      | has a route without a version      | wrong      |
      | has shares of 0                    | wrong      |
      | has a route of an unknown kind     | wrong      |

  Scenario: A route that names an unknown service is found
    When a call is read that names a service nobody knows
    Then the unknown service is "nobody"

  Scenario: A route may name a service of the same call
    When a call is read that is right
    Then no service is unknown

  Scenario: What is read back is laid out as it was sent
    When a call is read that is right
    Then laying its items out gives the call's items again
