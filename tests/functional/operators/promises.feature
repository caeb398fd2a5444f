Feature: Guarantees for operators

  Background:
    Given version 1 is committed

  Scenario: The later of two edits is refused, shown the change and keeps its files
    Given ana and ben exported the newest lists
    When ben moves customer desk to plan basic and applies
    And ana adds customer control-room and applies
    Then ana's command ends with exit code 3
    And ana is shown that ben moved desk to plan basic
    And ana's files are unchanged
    And the newest version is 2
    When ana merges ben's change and applies with the printed revision
    Then ana's command ends with exit code 0
    And the newest version is 3
    And customer desk has plan basic
    And customer control-room has plan gold

  Scenario: A commit whose response is lost takes effect once
    Given ana and ben exported the newest lists
    And the store loses the response to the next commit
    When ana adds customer control-room and applies
    Then ana's command ends with exit code 0
    And the newest version is 2
    And the store has received 2 transactions

  Scenario: A commit that the store receives after the command failed is refused
    Given ana and ben exported the newest lists
    And the store drops the next commit without a response
    When ana adds customer control-room and applies
    Then ana's command ends with exit code 4
    And the newest version is 1
    When the dropped commit arrives late
    Then the newest version is 1

  Scenario: Undo commits a new, higher version
    Given ana and ben exported the newest lists
    When ben moves customer desk to plan basic and applies
    And ana undoes version 2
    Then ana's command ends with exit code 0
    And the newest version is 3
    And customer desk has plan gold

  Scenario: While the store is down, nothing is written and the command fails
    Given ana and ben exported the newest lists
    And the store is down
    When ana adds customer control-room and applies
    Then ana's command ends with exit code 4
    And ana is shown the version of the daemon
    And ana's files are unchanged
    When the store is up again
    Then the newest version is 1
