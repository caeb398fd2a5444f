Feature: The link between the regions is cut

  Scenario: Both sides serve calls within the allowance and converge after healing
    Given a fleet without faults
    When a customer exceeds its allowance on both sides of a cut
    And a version is committed during the cut
    Then both sides have answered calls during the cut
    And both sides together have not exceeded the allowance
    And the side with the store has the version in force
    When the cut is healed
    Then every daemon has the version in force within 8 s
    And every daemon serves calls
