Feature: Eviction
  An adapter in use is never subject to eviction.

  Background:
    Given each engine has 2 adapter slots
    And each token takes 10 ms
    And engines check fencing numbers
    And a fleet of 2 entries, 1 engines and 0 plain services

  Scenario: Many adapters want the slots while answers stream
    When "lakeshore" begins 2 streamed answers of 150 tokens on "salt"
    And "lakeshore" asks each of "winter-1", "winter-2", "winter-3", "winter-4" and "winter-5" 2 times at once
    And the calls end
    Then no adapter was unloaded while it was in use
    And each answer is whole and its caller's own

  Scenario: A second agent on the slot of a paused one
    When "lakeshore" begins 2 streamed answers of 150 tokens on "salt"
    And the agent "engine-1" is paused
    And a second agent is started on the slot of "engine-1"
    Then the second agent ends with an error
    When the agent "engine-1" runs again
    And the calls end
    Then no adapter was unloaded while it was in use

  Scenario: The agent is killed and replaced while adapters come and go
    When "lakeshore" begins to ask "salt" 10 times a second over all entries
    And the agent "engine-1" is killed
    And the agent "engine-1" starts again
    And "lakeshore" asks each of "winter-1", "winter-2", "winter-3", "winter-4" and "winter-5" 2 times at once
    And the traffic stops
    Then no adapter was unloaded while it was in use
    And no caller got another's answer
