Feature: An operator's API call is validated as a whole before any part of it takes effect

  Scenario Outline: An invalid call is rejected with a short reason
    When a call is read that <flaw>
    Then it is rejected as "<kind>"

    Examples:
      | flaw                               | kind      |
      | is truncated                       | malformed |
      | is a list                          | malformed |
      | has a route with an empty host     | invalid   |
      | has a path without a leading slash | invalid   |
      | has a timeout of eleven minutes    | invalid   |
      | has a route without a version      | invalid   |
      | has shares of 0                    | invalid   |
      | has a route of an unknown kind     | invalid   |
      | has a warm-up that is no duration  | invalid   |
      | has a limit during warm-up that is text | invalid   |

  Scenario: A field of an item that is accepted has an effect
    Then every field of an item is read outside of the schema and its checks
    And a field "homeRegions" would be found to be read by nobody

  Scenario: A route that refers to an unknown service is reported
    When a call is read that refers to an unknown service
    Then the unknown service is "nobody"

  Scenario: A route may refer to a service of the same call
    When a call is read that is valid
    Then no service is unknown

  Scenario: The items of a call are formatted as they were sent
    When a call is read that is valid
    Then formatting its items returns the items that were sent
