Feature: The simulator of control plays days of trouble and checks what was seen

  Scenario Outline: Nothing fails on a fixed stretch of seeds
    When <seeds> seeds of the deployment "<deployment>" are played
    Then every check passes on each

    Examples:
      | deployment | seeds |
      | small      | 120   |
      | grown      | 50    |
      | large      | 20    |

  Scenario: No rule of safety is broken when more is lost at once than is withstood
    When 40 seeds of the deployment "small" are played, with more lost than it withstands
    Then every check passes on each

  Scenario: A seed plays the same way each time
    Then seed 7 of the deployment "grown" gives the same history twice

  Scenario Outline: Each check finds what it is there for
    Given boxes of which <fault>
    When seeds of the deployment "<deployment>" are played until the check "<check>" fails
    Then the shortest schedule found fails the same check

    Examples:
      | fault                                                   | deployment | check        |
      | a proposer passes over what was accepted before         | small      | one-body     |
      | an acceptor accepts what it promised not to             | small      | linearizable |
      | a spoiled file is passed over for what was before it    | small      | linearizable |
      | a wiped one counts at once                              | small      | linearizable |
      | a read asks nobody                                      | small      | linearizable |
      | what was agreed under earlier numbers is forgotten      | small      | refused      |
      | a term is not looked at                                 | small      | terms        |
      | contact is taken for granted                            | small      | contact      |
      | the roster only grows                                   | small      | roster       |
      | nobody lets a wiped one catch up                        | small      | served       |
