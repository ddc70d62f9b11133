Feature: The simulator of control plays days of trouble and checks what was seen

  Scenario Outline: Nothing fails on a fixed stretch of seeds
    When <seeds> seeds of the deployment "<deployment>" are played
    Then every check passes on each

    Examples:
      | deployment | seeds |
      | small      | 150   |
      | grown      | 20    |
      | large      | 5     |

  Scenario: No rule of safety is broken when more is lost at once than is withstood
    When 25 seeds of the deployment "small" are played, with more lost than it withstands
    Then every check passes on each

  Scenario: A seed plays the same way each time
    Then seed 7 of the deployment "grown" gives the same history twice

  Scenario Outline: Each check finds what it is there for
    Given boxes of which <fault>
    When seeds with much "<favoured>" are played until the check "<check>" fails
    Then the shortest schedule found fails the same check

    Examples:
      | fault                                                | favoured | check        |
      | a proposer passes over what was accepted before      | kill     | one-body     |
      | an acceptor accepts what it promised not to          | kill     | linearizable |
      | a read asks nobody                                   | kill     | linearizable |
      | what was agreed under earlier numbers is forgotten   | kill     | refused      |
      | only the first item of an order is offered           | kill     | whole        |
      | an order is taken without a look at what it names    | kill     | refused      |
      | a term is not looked at                              | freeze   | terms        |
      | contact is taken for granted                         | freeze   | contact      |
      | the roster only grows                                | replace  | roster       |
      | nobody lets a wiped one catch up                     | wipe     | served       |

  Scenario Outline: What a lost disk may cost is found too
    Given boxes of which <fault>
    When an order reaches two of three, the third is late, and all lose power while one of the two is <harm>
    Then the check "linearizable" fails

    Examples:
      | fault                                                | harm    |
      | a wiped one counts at once                           | wiped   |
      | a spoiled file is passed over for what was before it | spoiled |

  Scenario Outline: The real boxes bear the same
    When an order reaches two of three, the third is late, and all lose power while one of the two is <harm>
    Then every check passes on each

    Examples:
      | harm    |
      | wiped   |
      | spoiled |
