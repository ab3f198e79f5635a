Feature: Cold start
  A freshly started backend server gets no more work than it bears.

  Background:
    Given each engine bears 2 requests at once when it is cold
    And each token takes 10 ms
    And a fleet of 2 entries, 2 engines and 0 plain services

  Scenario: A burst meets fresh engines
    When "lakeshore" sends 20 streamed and 20 whole requests for "shared" at once
    Then no engine got more than it bore
    And each answer is whole and its caller's own

  Scenario: An engine starts anew under load
    When "lakeshore" begins to ask "shared" 30 times a second over all entries
    And 1 second passes
    And the engine of "engine-1" starts anew
    And 1 second passes
    And the engine of "engine-1" crashes for 300 ms
    And 2 seconds pass
    And the traffic stops
    Then no engine got more than it bore
    And no caller got another's answer

  Scenario: The agent is replaced while its engine is cold
    When the engine of "engine-1" starts anew
    And the agent "engine-1" is killed
    And "lakeshore" begins to ask "shared" 30 times a second over all entries
    And the agent "engine-1" starts again
    And 2 seconds pass
    And the traffic stops
    Then no engine got more than it bore
