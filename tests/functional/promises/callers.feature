Feature: A caller that goes away

  Scenario Outline: Its idempotent call is cancelled at the target
    Given a fleet at rest
    When a caller gives up 10 calls through a daemon <place> their target
    Then 10 calls are cancelled at targets before their work is done
    And no daemon holds a call any more

    Examples:
      | place     |
      | beside    |
      | away from |
