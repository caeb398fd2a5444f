Feature: Valid versions come into force on every daemon, damaged ones on none

  Background:
    Given a fleet without faults
    And every version in force is recorded

  Scenario: The store goes down right after a commit
    When a version is committed and the store goes down
    Then every daemon has the version in force within 8 s
    And every daemon serves calls
    And no daemon has shown a lower version than before

  Scenario Outline: A damaged version
    When the newest version in the store has <damage>
    Then the status of the relays shows the version as refused
    And every daemon keeps the last good version and answers calls
    When the operator replaces <damage> and commits a good version
    Then every daemon has the version in force within 8 s
    And no status shows a refused version
    And no daemon has shown a lower version than before

    Examples:
      | damage                    |
      | a malformed head row      |
      | a malformed object        |
      | an object of other lists  |
      | lists that fail the check |
      | no objects                |
