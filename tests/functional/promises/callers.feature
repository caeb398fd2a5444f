Feature: A caller that disconnects

  Scenario Outline: Its idempotent calls are cancelled at the target
    Given a fleet without faults
    When a caller cancels 10 calls through a daemon <place> their target
    Then 10 calls are cancelled at targets before their work is done
    And no daemon has a call in flight

    Examples:
      | place      |
      | beside     |
      | not beside |
