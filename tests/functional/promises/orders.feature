Feature: A non-idempotent order runs at most once

  Scenario Outline: Orders are retried after a daemon that handles them was killed
    Given a fleet without faults
    When 40 orders are in flight and <daemon> is killed
    And each order is sent again through other daemons until its outcome is final
    Then no target ran an order twice
    And each answer belongs to an order that ran
    And no order that was refused as not run has run
    And some orders were answered and some have an unknown outcome

    Examples:
      | daemon                            |
      | their entry daemon                |
      | a host daemon                     |
      | a daemon that is entry and host   |

  Scenario: The store loses one response to each claim
    Given a fleet without faults
    When 6 orders are sent and the store loses a response for each
    Then all orders are answered
    And no target ran an order twice
    And an order that is sent again gets its recorded response

  Scenario: The store loses every response to a claim
    Given a fleet without faults
    When 6 orders are sent and the store loses all responses
    Then each is refused as "store_unavailable", executed "no"
    And no order that was refused as not run has run
    When the store is up and the orders are sent again
    Then all orders are answered
    And no target ran an order twice

  Scenario: The store is down
    Given a fleet without faults
    And the store is down
    When 3 orders are sent through every daemon
    Then each is refused as "store_unavailable", executed "no"
    And no order that was refused as not run has run
    And lookups are served
    When the store is up and the orders are sent again
    Then all orders are answered
    And no target ran an order twice
