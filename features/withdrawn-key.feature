Feature: Withdrawn key
  A withdrawn key stops working within seconds.

  Background:
    Given each token takes 10 ms
    And a fleet of 2 entries, 2 engines and 0 plain services

  Scenario: A caller keeps its connections open
    When "lakeshore" begins to ask "salt" 20 times a second over all entries
    And 1 second passes
    And an operator withdraws the key of "lakeshore" at "entry-1"
    Then within 5 seconds all calls of "lakeshore" are refused with "unauthorized"
    And no call of "lakeshore" succeeds in the next 2 seconds

  Scenario: The table service goes down right after the withdrawal
    When "lakeshore" begins to ask "salt" 20 times a second over all entries
    And 1 second passes
    And an operator withdraws the key of "lakeshore" at "entry-1"
    And the table service is down
    Then within 5 seconds all calls of "lakeshore" are refused with "unauthorized"
    And no call of "lakeshore" succeeds in the next 2 seconds

  Scenario: An older document is applied after the withdrawal
    When an operator withdraws the key of "lakeshore" at "entry-1"
    And an operator makes "v2" the current version of "salt" at "entry-1"
    And an operator applies the first document again at "entry-1"
    And 1 second passes
    Then calls of "lakeshore" for "salt" are refused with "unauthorized" at each entry

  Scenario: An entry that was paused during the withdrawal and lost the store
    When the entry "entry-2" is paused
    And an operator withdraws the key of "lakeshore" at "entry-1"
    And the table service is down
    And the entry "entry-2" runs again
    And "lakeshore" begins to ask "salt" 20 times a second over all entries
    Then within 5 seconds all calls of "lakeshore" are refused with "unauthorized"
    And no call of "lakeshore" succeeds in the next 1 seconds

  Scenario: An answer streams while its key is withdrawn
    When "lakeshore" begins 4 streamed answers of 150 tokens on "salt"
    And an operator withdraws the key of "lakeshore" at "entry-1"
    And the calls end
    Then each answer is whole and its caller's own, or its caller sees that it is not whole
