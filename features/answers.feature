Feature: What comes back from a worker means something only if it is this try's own
  Every answer carries its try's id. Without it nothing is concluded: the request may have run.

  Scenario Outline: A late promise for another try, on a kept connection, promises nothing for this one
    Given a gateway and a worker that keeps its connections
    And another worker that answers well
    When on a kept connection the worker runs an order and a late <late> comes first
    Then the order's client is told 502
    And the order ran once, and no promise was given for it
    And the worker is still known

    Examples:
      | late                                    |
      | 503 with Not-Run and another try's id   |
      | 429 with Not-Run and another try's id   |
      | 421 with another try's id               |
      | 503 with Not-Run and no id              |
      | 421 with no id                          |

  Scenario Outline: Odd answers to an order: what its client is told, and nothing sent twice
    Given a gateway and a worker that keeps its connections
    And another worker that answers well
    When the first worker answers an order with <odd>
    Then the order's client is told <told> <whose>
    And the order was sent <sent>, and what is told is true of what the workers saw
    And the next requests get their own answers, whole

    Examples: the worker's own word, whole
      | odd                                               | told | whose                | sent                |
      | a 500 with a seal                                 | 500  | by the first worker  | once                |
      | a 404 with a seal                                 | 404  | by the first worker  | once                |
      | a 204                                             | 204  | by the first worker  | once                |
      | a whole answer that closes                        | 200  | by the first worker  | once                |
      | a whole answer that closes, and more bytes        | 200  | by the first worker  | once                |
      | a whole answer, and an extra one right behind it  | 200  | by the first worker  | once                |
      | a whole answer, and an extra one a moment later   | 200  | by the first worker  | once                |
      | a whole answer, and bytes of no protocol later    | 200  | by the first worker  | once                |
      | a 103 and then a whole answer                     | 200  | by the first worker  | once                |
      | a whole answer in small pieces                    | 200  | by the first worker  | once                |
      | a whole answer in chunks                          | 200  | by the first worker  | once                |

    Examples: turned away, so another worker may have it
      | odd                                               | told | whose                | sent                |
      | a 503 with Not-Run                                | 200  | by the second worker | to both             |
      | a 400 with Not-Run                                | 200  | by the second worker | to both             |
      | a 429 with Not-Run and no length, closed          | 200  | by the second worker | to both             |
      | a 421                                             | 200  | by the second worker | to both             |

    Examples: in doubt, so it may have run
      | odd                                               | told | whose                | sent                |
      | a 503 with a seal                                 | 502  | by the gateway         | once                |
      | a 429 without Not-Run                             | 502  | by the gateway         | once                |
      | a 408 with a seal                                 | 502  | by the gateway         | once                |
      | a 200 with Not-Run                                | 502  | by the gateway         | once                |
      | a 200 without a seal                              | 502  | by the gateway         | once                |
      | a 200 with two ids                                | 502  | by the gateway         | once                |
      | a 200 with an encoding                            | 502  | by the gateway         | once                |
      | a 500 with another id                             | 502  | by the gateway         | once                |
      | a 500 cut short                                   | 502  | by the gateway         | once                |
      | a 200 cut short                                   | 502  | by the gateway         | once                |
      | a 503 with Not-Run cut short                      | 502  | by the gateway         | once                |
      | chunks cut short                                  | 502  | by the gateway         | once                |
      | a body that ends with the connection              | 502  | by the gateway         | once                |
      | an unknown transfer coding                        | 502  | by the gateway         | once                |
      | two lengths                                       | 502  | by the gateway         | once                |
      | a 204 with a length and a body                    | 502  | by the gateway         | once                |
      | a 304 with a length                               | 502  | by the gateway         | once                |
      | a 100 that nobody asked for                       | 502  | by the gateway         | once                |
      | a 101                                             | 502  | by the gateway         | once                |
      | a head that is too large                          | 502  | by the gateway         | once                |

  Scenario: A HEAD whose answer has a body costs the next request nothing
    Given a gateway and a worker that keeps its connections
    When the worker answers a HEAD with a body
    Then the HEAD is told 200 and no body
    And the next requests get their own answers, whole

  Scenario Outline: Connections reset at each moment: "nothing was sent" is said only of what no socket saw
    Given a gateway and a worker that keeps its connections
    And another worker that answers well
    When the first worker's connection is reset <moment>
    Then the order's client is told <told> <whose>
    And what is told is true of what the workers saw

    Examples:
      | moment                                       | told | whose                |
      | before it is up                              | 200  | by the second worker |
      | as soon as it is up                          | 502 or 200 | by the gateway or the second worker |
      | while it rests                               | 200  | by the first worker  |
      | at the first byte                            | 502  | by the gateway         |
      | amid a long body                             | 502  | by the gateway         |
      | after the body                               | 502  | by the gateway         |
      | amid the answer's head                       | 502  | by the gateway         |
      | amid the answer's body                       | 502  | by the gateway         |

  Scenario Outline: An answer that comes before a long body was sent reaches its client
    Given a gateway and a worker that keeps its connections
    When the worker answers <early> after the head of a long order
    Then the order's client is told <told> by the <who>
    And the client's connection serves another request

    Examples:
      | early              | told | who          |
      | a 413 with a seal  | 413  | first worker |
      | a 503 with Not-Run | 503  | gateway        |

  Scenario: A request with no id has no answer of its own, so it is not sent
    Given a gateway and a worker that keeps its connections
    When an order comes without an id
    Then the order's client is told 400 by the gateway
    And no worker saw an order

  Scenario: An unusual method is passed on, and a request that can't be written counts against no worker
    Given a gateway and a worker that keeps its connections
    When a client sends a request of the method "PROPFIND"
    Then the worker saw the method "PROPFIND"
    When a client sends a request with two hosts
    Then the order's client is told 400 by the gateway
    And no worker is shunned

  Scenario: Two requests without waiting, and a reset between: nothing is left behind
    Given a gateway and a worker that keeps its connections
    And the first worker is silent
    When a client sends a read and an order behind it, and resets the connection
    Then nothing is open any more
    And no worker saw an order

  @known-red-at-times
  Scenario: A client that leaves amid a large answer ends the worker's call
    Given a gateway and a worker that keeps its connections
    When a client leaves amid a large answer
    Then nothing is open any more
    And the worker's connection is closed

  Scenario Outline: After a standstill no deadline that has passed leads to a new sending
    Given a gateway and a worker that keeps its connections
    And another worker that answers well
    When the gateway stands still beyond the deadline <while>
    Then nothing is sent for the order after that
    And the order's client is told <told>, or has left

    Examples:
      | while                                        | told |
      | and the first worker turns the order away    | 503  |
      | and a connection comes up                    | 503  |
      | and an order lies unread whose client left   | 503  |

  Scenario: Whatever goes wrong, one try is never sent to more workers than its route's tries
    Given a gateway with workers that refuse, reset, are full, fail and are silent, two of each
    When 60 reads are sent, one after the other
    Then no try was seen by more than 2 workers

  Scenario: A keyed order that is turned away after its client left frees its key
    Given a gateway and a worker that keeps its connections
    When a keyed order's client leaves, and then the worker turns it away
    Then the key is free
    When a keyed order's client leaves, and then the worker's connection is reset
    Then the key is not free

  Scenario Outline: A keyed order is sent only while its claim is sure to outlast the key's window
    When a keyed order is turned away <seconds> s after its key was claimed
    Then <count> workers saw it, and it is told 503
    And the key is free

    Examples:
      | seconds | count |
      | 1       | 2     |
      | 5       | 1     |

  Scenario Outline: A read of an object has a connection of its own, and what comes there must be its own too
    Given a reader of objects and a worker that answers a read with <answer>
    And another worker that has the object
    When the object is read until the first worker was asked
    Then the reader has the object, and the first worker is <known>
    And no connection of a worker brought two reads

    Examples:
      | answer                                 | known       |
      | a 503 with Not-Run and another's id    | still known |
      | a 421 with another's id                | still known |
      | a 200 with another's id                | still known |
      | a 503 with Not-Run and no id           | still known |
      | a 421 and no id                        | not known   |
      | a large body that stalls               | still known |
      | a large body cut short                 | still known |

  Scenario: A range past the end of an object is the gateway's own failure, without a worker's seal
    Given a reader of objects and a worker that has the object
    When a range past its end is read
    Then the reader is told 416 without a seal
