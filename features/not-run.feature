Feature: Truthful "not run"
  A refusal that says "not run" is true.

  Background:
    Given each token takes 10 ms
    And a call of the plain service takes 200 ms
    And a fleet of 2 entries, 2 engines and 2 plain services

  Scenario: More work than the engines can do before the deadline
    When "lakeshore" sends 150 requests for "shared" at once with a deadline of 1500 ms
    Then each refusal that says "not run" is true
    And no caller got another's answer
    And each refusal was given before its deadline

  Scenario: An engine crashes while it runs requests
    When "lakeshore" begins 10 streamed answers of 60 tokens on "shared"
    And an engine that runs requests crashes
    And the calls end
    Then each refusal that says "not run" is true
    And no caller got another's answer

  Scenario: An agent and a plain service die while orders run
    When "lakeshore" begins 10 salt orders over all entries
    And back ends run requests
    And the service of "desk-1" crashes for 500 ms
    And the agent "desk-2" is killed
    And the calls end
    Then each refusal that says "not run" is true
    And no order ran more than once

  Scenario: A plain service loses its answers and the table service is down
    Given each plain service loses its next 3 answers
    When the table service is down
    And "lakeshore" begins 6 salt orders over all entries
    And "lakeshore" sends 10 stock checks over all entries
    And the calls end
    Then each refusal that says "not run" is true
    And no order ran more than once

  Scenario: A request that crashes every engine that runs it
    Given an engine crashes on a request with the text "black ice"
    When "lakeshore" begins to ask "shared" 20 times a second over all entries
    And "prairie" sends the same request with the text "black ice" for "shared" 4 times, one after the other
    And 1 second passes
    And "prairie" sends the same request with the text "black ice" for "shared" 2 times, one after the other
    And the traffic stops
    Then the engines crashed at most 2 times
    And each refusal that says "not run" is true
    And the last call of "prairie" is refused with "quarantined" and did not run

  Scenario: No back end is left
    When the agent "desk-1" is killed
    And the agent "desk-2" is killed
    And "lakeshore" sends 4 salt orders over all entries
    Then each refusal that says "not run" is true
    And each refusal has a time to come back
