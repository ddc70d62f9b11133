Feature: The simulator runs the control state under faults and checks invariants of what was recorded

  Scenario Outline: No invariant is violated on a fixed range of seeds
    When <seeds> seeds of the deployment "<deployment>" are run
    Then every invariant holds on each

    Examples:
      | deployment | seeds |
      | small      | 150   |
      | grown      | 20    |
      | large      | 5     |

  Scenario: No safety invariant is violated when more is lost at once than is withstood
    When 25 seeds of the deployment "small" are run, with more lost than it withstands
    Then every invariant holds on each

  Scenario: A seed runs the same way each time
    Then seed 7 of the deployment "grown" gives the same history twice

  Scenario Outline: Each invariant finds what it is there for
    Given controllers of which <defect>
    When seeds with much "<favoured>" are run until the invariant "<invariant>" is violated
    Then the shortest schedule found violates the same invariant

    Examples:
      | defect                                                   | favoured | invariant      |
      | a proposer ignores what was accepted before              | kill     | single-value   |
      | an acceptor accepts what it promised not to              | kill     | linearizable   |
      | a read asks no quorum                                    | kill     | linearizable   |
      | what was committed under earlier versions is forgotten   | kill     | rejected       |
      | only the first item of a change is proposed              | kill     | complete       |
      | what was proposed together is forgotten                  | freeze   | atomic         |
      | a change is accepted without a check of what it requires | kill     | rejected       |
      | terms are not checked                                    | freeze   | leader-terms   |
      | quorum contact is taken for granted                      | freeze   | quorum-contact |
      | the voter set only grows                                 | replace  | voter-set      |
      | nobody lets a wiped one catch up                         | wipe     | availability   |

  Scenario Outline: What a lost disk may cost is found too
    Given controllers of which <defect>
    When a change reaches two of three, the third is late, and all lose power while one of the two is <harm>
    Then the invariant "linearizable" is violated

    Examples:
      | defect                                            | harm      |
      | a wiped one votes at once                         | wiped     |
      | a corrupt file is ignored in favour of older ones | corrupted |

  Scenario Outline: The real controllers withstand the same
    When a change reaches two of three, the third is late, and all lose power while one of the two is <harm>
    Then every invariant holds on each

    Examples:
      | harm      |
      | wiped     |
      | corrupted |
