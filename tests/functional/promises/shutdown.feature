Feature: A graceful shutdown loses no request in flight

  Scenario: A daemon stops with slow calls in flight
    Given a fleet without faults
    When slow calls are in flight through a daemon and on its target
    And the daemon gets SIGTERM twice
    Then all slow calls are answered in full
    And the daemon exits with code 0
    And calls through the other daemons were served

  Scenario: A draining target gets no new work after 2 s
    Given a fleet without faults
    When a target under load reports that it is draining
    Then no call started there after 2 s
    And calls through the other daemons were served

  Scenario: Target and daemon stop together during a commit
    Given a fleet without faults
    When slow calls are in flight through a daemon and on its target
    And the daemon and its target get SIGTERM during a commit
    Then all slow calls are answered in full
    And the daemon exits with code 0
    And calls through the other daemons were served
    And every other daemon has the version in force within 8 s
