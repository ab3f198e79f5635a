Feature: Configuration
  An accepted configuration is in force everywhere within seconds and never reverts.

  Background:
    Given a fleet of 3 entries, 2 engines and 0 plain services

  Scenario: A new current version of an adapter
    When an operator makes "v2" the current version of "salt" at "entry-1"
    Then within 5 seconds each entry runs "salt" as "v2"
    And none runs "salt" as another version than "v2" in the next 2 seconds

  Scenario: The table service goes down right after the change was accepted
    When an operator makes "v2" the current version of "salt" at "entry-1"
    And the table service is down
    Then within 5 seconds each entry runs "salt" as "v2"
    And none runs "salt" as another version than "v2" in the next 1 seconds

  Scenario: An entry is paused during the change and the table service is down when it runs again
    When the entry "entry-2" is paused
    And an operator makes "v2" the current version of "salt" at "entry-1"
    And within 5 seconds "entry-1" runs "salt" as "v2"
    And the table service is down
    And the entry "entry-2" runs again
    Then within 5 seconds "entry-2" runs "salt" as "v2"
    And none runs "salt" as another version than "v2" in the next 1 seconds

  Scenario: An entry starts anew while the table service is down
    When an operator makes "v2" the current version of "salt" at "entry-1"
    And within 5 seconds each entry runs "salt" as "v2"
    And the table service is down
    And the entry "entry-2" is killed
    And the entry "entry-2" starts again
    Then within 5 seconds "entry-2" runs "salt" as "v2"
    And none runs "salt" as another version than "v2" in the next 1 seconds

  Scenario: Two operators change the document at once
    When two operators make "v2" and "v1" the current version of "mats" at once
    Then at least one operator's change was accepted
    And an operator whose change was not accepted learned of a conflict
    And within 5 seconds all entries run "mats" as the same version

  Scenario: The table service loses the answer to the change
    When the table service loses its next 1 answers
    And an operator makes "v2" the current version of "salt" at "entry-1"
    Then the operator's change was accepted
    And within 5 seconds each entry runs "salt" as "v2"
