Feature: Leaving backend server
  A leaving backend server gets no new work after a few seconds.

  Background:
    Given each token takes 10 ms
    And a fleet of 2 entries, 3 engines and 0 plain services

  Scenario: The platform's list says that a host is leaving
    When "lakeshore" begins to ask several adapters 30 times a second over all entries
    Then within 5 seconds the back end "engine-2" begins work
    When the platform lists "engine-2" as leaving
    And 5 seconds pass
    Then the back end "engine-2" begins nothing in the next 2 seconds
    When the traffic stops
    Then each answer is whole and its caller's own

  Scenario: An operator drains a backend server while requests run on it
    When "lakeshore" begins 12 streamed answers of 250 tokens on "shared"
    And "lakeshore" begins to ask several adapters 30 times a second over all entries
    Then within 5 seconds the back end "engine-2" begins work
    When an operator drains "engine-2" at "entry-1"
    And 5 seconds pass
    Then the back end "engine-2" begins nothing in the next 2 seconds
    When an operator undrains "engine-2" at "entry-1"
    Then within 45 seconds the back end "engine-2" begins work
    When the traffic stops
    And the calls end
    Then each answer is whole and its caller's own

  Scenario: The host list is down and an entry is killed after a server was drained
    When "lakeshore" begins to ask several adapters 30 times a second over all entries
    Then within 5 seconds the back end "engine-2" begins work
    When an operator drains "engine-2" at "entry-1"
    And the host list is down
    And the entry "entry-2" is killed
    And 5 seconds pass
    Then the back end "engine-2" begins nothing in the next 2 seconds
    When the traffic stops
    Then no caller got another's answer
