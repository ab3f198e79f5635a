Feature: At most once
  A request that may not be repeated runs at most once.

  Background:
    Given a call of the plain service takes 300 ms
    And a fleet of 2 entries, 0 engines and 2 plain services

  Scenario: The same order arrives twice at two entries at once
    When "lakeshore" sends 10 salt orders at once, each to both entries with the same idempotency key
    Then each order ran exactly once
    And each answer is a success, or a refusal with "in_progress"

  Scenario: An order is sent again after it was answered
    When "lakeshore" sends a salt order "A" to "entry-1"
    And "lakeshore" sends the salt order "A" again to "entry-2"
    Then both answers to the order "A" are the same success
    And each order ran exactly once

  Scenario: The same idempotency key with another order
    When "lakeshore" sends a salt order "A" to "entry-1"
    And "lakeshore" sends another order with the idempotency key of "A" to "entry-1"
    Then the last call is refused with "idempotency_mismatch" and did not run

  Scenario: An order without an idempotency key
    When "lakeshore" sends a salt order without an idempotency key
    Then the last call is refused with "idempotency_key_required" and did not run

  Scenario: The table service loses the answer after the claim took effect
    When the table service loses its next 4 answers
    And "lakeshore" sends 4 salt orders over all entries
    Then no order ran more than once
    And each refusal that says "not run" is true
    And at least 1 call succeeded

  Scenario: The plain service runs the order and its answer is lost
    Given each plain service loses its next 1 answers
    When "lakeshore" sends a salt order "A" to "entry-1"
    And "lakeshore" sends the salt order "A" again to "entry-2"
    Then no order ran more than once
    And each refusal that says "not run" is true

  Scenario: The agent is killed while the order runs
    When "lakeshore" begins a salt order "A" at "entry-1"
    And the agent that runs the order "A" is killed
    And the calls end
    And "lakeshore" sends the salt order "A" again to "entry-2"
    Then no order ran more than once
    And each refusal that says "not run" is true

  Scenario: The entry is killed while the order runs
    When "lakeshore" begins a salt order "A" at "entry-1"
    And the order "A" runs
    And the entry "entry-1" is killed
    And the calls end
    And "lakeshore" sends the salt order "A" again to "entry-2"
    Then no order ran more than once
    And each refusal that says "not run" is true

  Scenario: The claim's answer is lost and the plain service crashes
    Given a plain service crashes on an order with the text "brine"
    When the table service loses its next 2 answers
    And "lakeshore" sends a salt order "A" with the text "brine" to "entry-1"
    And "lakeshore" sends the salt order "A" again to "entry-2"
    Then no order ran more than once
    And each refusal that says "not run" is true

  Scenario: The table service is down
    When the table service is down
    And "lakeshore" sends 4 salt orders over all entries
    Then no order ran more than once
    And each refusal that says "not run" is true
    And each refusal has a time to come back

  Scenario: The table service is slow and the order comes again meanwhile
    When the table service takes 400 ms for each answer
    And "lakeshore" sends 4 salt orders at once, each to both entries with the same idempotency key
    Then no order ran more than once
    And each refusal that says "not run" is true
