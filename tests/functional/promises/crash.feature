Feature: A request that crashes its targets

  Scenario: Its caller retries it every second through different daemons
    Given a fleet without faults
    When a request that crashes its target is sent every second for 8 s
    Then targets crashed at least once and at most 2 times
    And no attempt that crashed a target was refused as not run
    And the request is finally refused as "quarantined", executed "no"
    And other requests of the same customer were served
