Feature: A graceful shutdown cuts no request in flight

  Scenario: A daemon ends with slow calls in flight
    Given a fleet at rest
    When slow calls are in flight through a daemon and on its target
    And the daemon gets SIGTERM, and once more
    Then all slow calls are answered whole
    And the daemon exits with code 0
    And calls through the other daemons went on

  Scenario: A draining target gets no new work after 2 s
    Given a fleet at rest
    When a target says under load that it drains
    Then no call started there after 2 s
    And calls through the other daemons went on

  Scenario: Target and daemon leave together during a commit
    Given a fleet at rest
    When slow calls are in flight through a daemon and on its target
    And the daemon and its target get SIGTERM during a commit
    Then all slow calls are answered whole
    And the daemon exits with code 0
    And calls through the other daemons went on
    And every other daemon has the version in force within 8 s
