Feature: cassiasaild --check

  Scenario: Valid settings
    Given the settings of a daemon
    When the settings are checked
    Then the exit code is 0

  Scenario Outline: A faulty setting
    Given the settings of a daemon
    And in them "<old>" is replaced by "<new>"
    When the settings are checked
    Then the exit code is not 0
    And a fault names "<section>", "<key>", "<value>" and what is allowed

    Examples:
      | old                  | new                   | section   | key             | value       |
      | region_delay_ms = 12 | region_delay_ms = -1  | emulation | region_delay_ms | -1          |
      | peer_address = 127   | peer_address = x127   | daemon    | peer_address    | x127        |
      | data_centre = kzn-1  | data_centre = kzn-9   | fleet     | data_centres    | kzn-9       |
      | data_centre = kzn-1  | data_center = kzn-1   | daemon    | data_center     | kzn-1       |
      | data_centre = kzn-1  | data_center = kzn-1   | daemon    | data_centre     | absent      |
      | region_mbit = 30.0     | region_mbit = nan     | emulation | region_mbit     | nan         |
      | [fleet]              | [flet]                | flet      | flet            | flet        |

  Scenario: All faults are shown at once
    Given the settings of a daemon
    And in them "region_delay_ms = 12" is replaced by "region_delay_ms = fast"
    And in them "peer_address = 127" is replaced by "peer_address = x127"
    When the settings are checked
    Then 2 faults are shown
    And the daemon refuses to start with the same faults
