Feature: A change is acknowledged once every controller in contact has posted it to its nodes

  Scenario: The acknowledgement waits for connected peers, but not for disconnected ones
    Given a controller with connected peers "b" and "c" and a disconnected peer "d"
    When a change is committed and its acknowledgement is pending
    Then "b" and "c" are asked whether they have posted it, and "d" is not
    When peer "b" replies
    Then the change is not yet acknowledged
    When the request to peer "c" times out
    Then the change is acknowledged, and requests to peers time out after at most 300 ms

  Scenario: A controller that is behind replies once it has caught up
    Given a controller that is catching up from its peers
    When a peer asks whether it has posted what is committed
    Then it does not reply yet
    When the catch-up ends
    Then it replies
