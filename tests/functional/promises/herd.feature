Feature: All daemons are killed and restarted at once

  Scenario: With the store up they recover
    Given a fleet without faults
    When all daemons are killed and restarted
    Then every daemon serves calls

  Scenario: With the store down calls are refused until it is back
    Given a fleet without faults
    And the store is down
    When all daemons are killed and restarted
    Then every daemon refuses calls as "no_configuration", executed "no"
    And no daemon reports that it is ready
    When the store is up
    Then every daemon serves calls

  Scenario: A daemon that joins running peers gets its configuration from them
    Given a fleet without faults
    And the store is down
    When one daemon is killed and restarted
    Then every daemon has the version in force within 40 s
    And the restarted daemon answers lookups
    And the status of the relays shows the store as unreachable
