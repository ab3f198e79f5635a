Feature: Key never to the back end
  No backend server ever sees a caller's key.

  Background:
    Given a fleet of 2 entries, 2 engines and 1 plain services

  Scenario Outline: The key comes in <place>
    When "lakeshore" shows its key also in <place> to models and routes
    Then no back end saw a caller's key

    Examples:
      | place             |
      | the usual header  |
      | an X-Api-Key      |
      | a cookie          |
      | the query         |
      | the body          |

  Scenario: Calls are tried again on other back ends
    Given each engine cuts its next 2 answers after 0 tokens
    When "lakeshore" sends 10 streamed and 10 whole requests for "salt" at once
    And the engine of "engine-1" crashes for 300 ms
    And "lakeshore" sends 5 streamed and 5 whole requests for "salt" at once
    Then no back end saw a caller's key
