Feature: Customers are authenticated by their API keys

  Background:
    Given a system with the customers "alpha" with key "key-a" and "beta" with key "key-b"

  Scenario: The API key is not passed on, and the worker is told the customer of the key
    When a request with the key "key-b" claims to be of customer "alpha"
    Then the worker ran it for customer "beta"
    And the worker has never seen an API key

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
      | a rate limit           | ratePerS |

  Scenario Outline: What a service asks for and nothing would do is refused
    When a service with <field> <value> is put
    Then the change is refused with 400 and names "<field>"

    Examples:
      | field     | value |
      | protocol  | "h2"  |
      | encrypted | true  |
      | sharded        | "yes" |
      | maxConnections | "60"  |

  Scenario: A public route needs no key, and still neither forwards one nor lets a client name its customer
    When a request to the public route without a key claims to be of customer "alpha"
    Then the worker ran it for no customer
    When a request to the public route has the key "key-a"
    Then it is answered with 200
    And the worker has never seen an API key

  Scenario: A key that was taken away is refused, and one that was added is served
    When customer "alpha" at version 2 is given the keys "key-c"
    And a request with the key "key-a" is sent
    Then it is answered with 401
    When a request with the key "key-c" is sent
    Then it is answered with 200
    When customer "alpha" is removed at version 3
    And a request with the key "key-c" is sent
    Then it is answered with 401

  Scenario: Nothing but the configuration that is read back shows API keys
    When a request with the key "key-a" is sent
    Then metrics, queries and log lines contain neither an API key nor its digest
    And the customers are listed with the number of their keys

  Scenario: Waiting requests proceed by rank of their customer, then of their route
    Then a request of a customer of rank 0 on a route of rank 5 goes before one of a customer of rank 1 on a route of rank 0
    And among customers of one rank the route of rank 0 goes before that of rank 5
    And requests without a customer go last

  Scenario: Until the whole first configuration has come, a gateway says that nothing is unknown
    Given the first part of a configuration has come without the controller's position
    Then the gateway is not ready to tell what is unknown
    When the rest comes with the controller's position
    Then the gateway is ready to tell what is unknown

  Scenario: A key that moves is served whichever update comes first
    When the updates of a move of "key-a" from "alpha" to "beta" come in either order
    Then the key belongs to "beta"
