Feature: Customer's rate
  No customer gets more than its rate and burst over all hosts together.

  The customer "ringside" has 400 tokens a second and a burst of 2000. A stock check costs 100 tokens.

  Background:
    Given a fleet of 3 entries, 0 engines and 2 plain services
    And the fleet has settled for 3 seconds

  Scenario: A customer that sends several times its rate over all entries
    When "ringside" sends 60 stock checks a second over all entries for 5 seconds
    Then "ringside" never got more than its rate and burst
    And at least 10 stock checks of "ringside" ran
    And each refusal has the code "rate_exceeded", a time to come back, and did not run

  Scenario: A customer that stays inside its rate
    When "ringside" sends 2 stock checks a second over all entries for 5 seconds
    Then all calls succeed

  Scenario: An entry is killed and comes back
    When "ringside" begins to send 60 stock checks a second over all entries
    And 1 second passes
    And the entry "entry-2" is killed
    And 2 seconds pass
    And the entry "entry-2" starts again
    And 2 seconds pass
    And the traffic stops
    Then "ringside" never got more than its rate and burst
    And each refusal with "rate_exceeded" did not run

  Scenario: An entry is paused while the table service is down
    When "ringside" begins to send 60 stock checks a second over all entries
    And 1 second passes
    And the entry "entry-2" is paused
    And the table service is down
    And 3 seconds pass
    And the entry "entry-2" runs again
    And 1 second passes
    And the table service is up
    And 1 second passes
    And the traffic stops
    Then "ringside" never got more than its rate and burst
    And at least 10 stock checks of "ringside" ran

  Scenario: The table service loses answers while an entry is replaced
    When "ringside" begins to send 60 stock checks a second over all entries
    And the table service loses 50 percent of its answers
    And 1 second passes
    And the entry "entry-1" is killed
    And the entry "entry-1" starts again
    And 3 seconds pass
    And the traffic stops
    Then "ringside" never got more than its rate and burst
