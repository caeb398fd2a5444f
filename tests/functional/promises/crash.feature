Feature: A request that crashes its targets

  Scenario: Its caller sends it again every second through different daemons
    Given a fleet at rest
    When a request that crashes its target is sent every second for 8 s
    Then targets died at least once and at most 2 times
    And no sending that killed a target was refused as not run
    And the request is refused in the end as "quarantined", executed "no"
    And other requests of the same customer went on
