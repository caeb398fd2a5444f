Feature: Promises to operators

  Background:
    Given version 1 is committed

  Scenario: The loser of a race is shown what changed and loses nothing
    Given ana and ben exported the newest lists
    When ben moves customer desk to plan basic and applies
    And ana adds customer control-room and applies
    Then ana's command ends with exit code 3
    And ana is shown that ben moved desk to plan basic
    And ana's files are as she left them
    And the newest version is 2
    When ana takes over ben's change and applies with the revision she is shown
    Then ana's command ends with exit code 0
    And the newest version is 3
    And customer desk has plan basic
    And customer control-room has plan gold

  Scenario: A lost answer never writes twice
    Given ana and ben exported the newest lists
    And the store loses the answer of the next commit
    When ana adds customer control-room and applies
    Then ana's command ends with exit code 0
    And the newest version is 2
    And the store has seen 2 transactions

  Scenario: An edit whose commit is lost on the way is not written later
    Given ana and ben exported the newest lists
    And the store drops the next commit without an answer
    When ana adds customer control-room and applies
    Then ana's command ends with exit code 4
    And the newest version is 1
    When the dropped commit arrives after all
    Then the newest version is 1

  Scenario: Undo is a new, higher version
    Given ana and ben exported the newest lists
    When ben moves customer desk to plan basic and applies
    And ana undoes version 2
    Then ana's command ends with exit code 0
    And the newest version is 3
    And customer desk has plan gold

  Scenario: Nothing is written while the store is down, and the operator is told
    Given ana and ben exported the newest lists
    And the store is down
    When ana adds customer control-room and applies
    Then ana's command ends with exit code 4
    And ana is shown the version that the daemon holds
    And ana's files are as she left them
    When the store is up again
    Then the newest version is 1
