Feature: Every caller gets the complete response to its own request

  Scenario: Responses stay complete and matched while servers truncate and mismatch theirs
    Given the platform runs
    And 2 router instances in failure domains domain-a, domain-b
    And an unkeyed service program of 3 servers
    And preset day is published
    And every instance serves requests
    When 1000 requests are sent concurrently
    And server program-1 truncates its responses
    And server program-2 responds with another request's identifier
    And 1000 requests are sent concurrently
    Then every response is complete and matches its request
    And only server program-3 answered the second round
