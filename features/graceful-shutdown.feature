Feature: Graceful shutdown
  A graceful shutdown cuts no request.

  Background:
    Given each token takes 10 ms
    And a fleet of 2 entries, 2 engines and 1 plain services

  Scenario: An agent is stopped while answers stream
    When "lakeshore" begins 8 streamed answers of 150 tokens on "shared"
    And the agent "engine-1" is told to stop
    And "lakeshore" sends 10 streamed and 10 whole requests for "shared" at once
    And the calls end
    Then each answer is whole and its caller's own
    And the process "engine-1" ended with code 0 within 5 seconds

  Scenario: An entry is stopped while answers stream
    When "lakeshore" begins 8 streamed answers of 150 tokens on "shared"
    And the entry "entry-1" is told to stop
    And the calls end
    Then each answer is whole and its caller's own
    And the process "entry-1" ended with code 0 within 5 seconds

  Scenario: An entry is stopped while the table service is down
    When "lakeshore" begins 8 streamed answers of 150 tokens on "shared"
    And the table service is down
    And the entry "entry-1" is told to stop
    And the calls end
    Then each answer is whole and its caller's own
    And the process "entry-1" ended with code 0 within 15 seconds

  Scenario: All agents are replaced one after the other under load
    When "lakeshore" begins to ask "shared" 30 times a second over all entries
    And the agent "engine-1" is told to stop
    And the process "engine-1" ended with code 0 within 10 seconds
    And the agent "engine-1" starts again
    And the agent "engine-2" is told to stop
    And the process "engine-2" ended with code 0 within 10 seconds
    And the agent "engine-2" starts again
    And the traffic stops
    Then each answer is whole and its caller's own
