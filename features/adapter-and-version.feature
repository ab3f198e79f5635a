Feature: Adapter and version
  Each request runs on its adapter and its version.

  Background:
    Given each engine has 2 adapter slots
    And a fleet of 2 entries, 2 engines and 0 plain services

  Scenario: Two versions of several adapters at once in few slots
    When "lakeshore" asks each of "salt@v1", "salt@v2", "winter-1", "winter-2" and "winter-3" 6 times at once
    Then each answer is whole and its caller's own

  Scenario: Engines restart empty without warning
    When "lakeshore" begins to ask "salt@v1" 20 times a second over all entries
    And 1 second passes
    And the engine of "engine-1" starts anew
    And the engine of "engine-2" starts anew
    And 1 second passes
    And the traffic stops
    Then each success ran on what its caller asked for
    And at least 20 answers are whole

  Scenario: Adapter loads fail and an engine restarts empty
    Given each engine fails its next 2 adapter loads
    When "lakeshore" asks each of "salt@v1", "salt@v2", "winter-1", "winter-2" and "winter-3" 4 times at once
    And the engine of "engine-1" starts anew
    And "lakeshore" asks each of "salt@v1", "salt@v2", "winter-1", "winter-2" and "winter-3" 4 times at once
    Then each success ran on what its caller asked for
    And each refusal that says "not run" is true

  Scenario: The agent is replaced on the same slot
    When "lakeshore" asks each of "salt@v1", "salt@v2", "winter-1", "winter-2" and "winter-3" 2 times at once
    And the agent "engine-1" is killed
    And the agent "engine-1" starts again
    And "lakeshore" asks each of "salt@v1", "salt@v2", "winter-1", "winter-2" and "winter-3" 4 times at once
    Then each answer is whole and its caller's own

  Scenario: An adapter whose weights are missing
    When "lakeshore" sends 1 streamed and 1 whole requests for "broken" at once
    Then each call is refused with "load_failed" and did not run
