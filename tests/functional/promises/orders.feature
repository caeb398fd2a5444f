Feature: A non-idempotent order runs at most once

  Scenario Outline: Orders are sent again after a daemon on their way was killed
    Given a fleet at rest
    When 40 orders are under way and <daemon> is killed
    And each order is sent again through other daemons until its fate is told
    Then no target ran an order twice
    And each answer belongs to an order that ran
    And no order that was refused as not run has run
    And some orders were answered and some have an unknown outcome

    Examples:
      | daemon                            |
      | their entry daemon                |
      | a host daemon                     |
      | a daemon that is entry and host   |

  Scenario: The store loses the answers to claims
    Given a fleet at rest
    When 6 orders are sent and the store loses an answer for each
    Then all orders are answered
    And no target ran an order twice
    And an order that is sent again gets its recorded answer

  Scenario: The store loses every answer to a claim
    Given a fleet at rest
    When 6 orders are sent and the store loses all answers
    Then each is refused as "store_unavailable", executed "no"
    And no order that was refused as not run has run
    When the store is up and the orders are sent again
    Then all orders are answered
    And no target ran an order twice

  Scenario: The store is down
    Given a fleet at rest
    And the store is down
    When 3 orders are sent through every daemon
    Then each is refused as "store_unavailable", executed "no"
    And no order that was refused as not run has run
    And lookups go on
    When the store is up and the orders are sent again
    Then all orders are answered
    And no target ran an order twice
