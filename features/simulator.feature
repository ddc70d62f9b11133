Feature: The simulator runs the control plane under injected faults and checks invariants of the history

  Scenario Outline: No invariant is violated by a fixed range of seeds
    When <seeds> seeds of the deployment "<deployment>" are simulated
    Then no invariant is violated

    Examples:
      | deployment | seeds |
      | small      | 150   |
      | grown      | 20    |
      | large      | 5     |

  Scenario: No safety invariant is violated when faults exceed the fault tolerance
    When 25 seeds of the deployment "small" are simulated, with faults beyond its fault tolerance
    Then no invariant is violated

  Scenario: A seed always produces the same history
    Then seed 7 of the deployment "grown" produces the same history twice

  Scenario Outline: Each invariant detects a defect that violates it
    Given controllers with the defect "<defect>"
    When seeds with frequent "<fault>" faults are simulated until the invariant "<invariant>" is violated
    Then the shrunk schedule violates the same invariant

    Examples:
      | defect                                                 | fault   | invariant      |
      | a proposer ignores previously accepted values          | kill    | single-value   |
      | an acceptor accepts ballots below its promise          | kill    | linearizable   |
      | a read does not contact a quorum                       | kill    | linearizable   |
      | versions committed before the latest one are forgotten | kill    | rejected       |
      | only the first item of a change is proposed            | kill    | complete       |
      | the items that were proposed together are forgotten    | freeze  | atomic         |
      | a change is accepted without checking its requirements | kill    | rejected       |
      | changes of customers are not decided one after another | kill    | unshared-keys  |
      | terms are not checked                                  | freeze  | leader-terms   |
      | quorum contact is confirmed without a check            | freeze  | quorum-contact |
      | the voter set only grows                               | replace | voter-set      |
      | a wiped controller is never allowed to catch up        | wipe    | availability   |

  Scenario Outline: Defects in the recovery from a damaged disk are detected
    Given controllers with the defect "<defect>"
    When a change reaches two of three controllers before all lose power and the disk of one of the two is <damage>
    Then the invariant "linearizable" is violated

    Examples:
      | defect                                            | damage    |
      | a wiped controller votes at once                  | wiped     |
      | a corrupt file is ignored and older ones are used | corrupted |

  Scenario Outline: The real controllers recover from a damaged disk
    When a change reaches two of three controllers before all lose power and the disk of one of the two is <damage>
    Then no invariant is violated

    Examples:
      | damage    |
      | wiped     |
      | corrupted |
