Feature: Customers are authenticated by their API keys

  Background:
    Given a system with the customers "alpha" with key "key-a" and "beta" with key "key-b"

  @known-red
  Scenario: The API key is not passed on, and the worker is told the customer of the key
    When a request with the key "key-b" claims to be of customer "alpha"
    Then the worker ran it for customer "beta"
    And the worker has never seen an API key

  @known-red
  Scenario: A request without a key, or with an unknown key, runs nowhere
    When a request without a key is sent
    Then it is answered with 401
    When a request with the key "key-of-nobody" is sent
    Then it is answered with 401
    And no worker ran a request

  Scenario: Acknowledged customers are read back, and what is not understood is refused
    Then the configuration that is read back has the customers "alpha" and "beta" with their keys
    When a change with the unknown collection "customs" is sent
    Then the change is refused with 400 and names "customs"

  Scenario: A change by which two customers would share an API key is refused without naming the key
    When customer "beta" at version 2 is given the keys "key-b, key-a"
    Then the change is refused with 400 and names "alpha and beta"
    And the refusal contains no API key
    And the configuration that is read back has the customers "alpha" and "beta" with their keys
    When two new customers with the same key are put in one change
    Then the change is refused with 400 and names "share an API key"

  Scenario: A key moves to another customer in one change, and an earlier change that is sent again is acknowledged
    When in one change customer "alpha" gives its key to "beta"
    Then the change is acknowledged
    When the first change is sent again
    Then the change is acknowledged
    When customer "alpha" at version 3 is given the keys "key-a"
    Then the change is refused with 400 and names "beta and alpha"

  Scenario: A removed customer's key may be given to another one, and the name comes back only with a higher version
    When customer "alpha" is removed at version 5
    And customer "beta" at version 2 is given the keys "key-a"
    Then the change is acknowledged
    When customer "alpha" at version 4 is given the keys "key-a"
    Then the change is acknowledged
    And only the customer "beta" is read back

  Scenario Outline: An invalid customer is refused, and nothing of its change is in force
    When a customer with <defect> is put
    Then the change is refused with 400 and names "<named>"
    And the refusal contains no API key
    And the configuration that is read back has the customers "alpha" and "beta" with their keys

    Examples:
      | defect                 | named   |
      | no name                | name    |
      | no keys                | apiKeys |
      | a key with a space     | apiKeys |
      | an empty key           | apiKeys |
      | a rank below 0         | rank    |
      | a version that is text | version |
