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

  @known-red
  Scenario: Acknowledged customers are read back, and what is not understood is refused
    Then the configuration that is read back has the customers "alpha" and "beta" with their keys
    When a change with the unknown collection "customs" is sent
    Then the change is refused with 400 and names "customs"
