Feature: Non-idempotent requests run at most once

  Background:
    Given the platform runs
    And 3 router instances in failure domains domain-a, domain-b, domain-c
    And an unkeyed service ordering of 2 servers
    And preset day is published
    And every instance serves requests

  Scenario: Concurrent duplicates and later retries of an order get one response and run once
    When 30 orders are each sent through all instances concurrently
    And each order is retried through all instances
    Then all attempts of each order got the same response
    And each order has exactly one effect

  Scenario: A retry after the instance was killed in the middle of an order gets outcome unknown
    When order molde is sent through the first instance and runs for 1500 ms
    And the first instance is killed
    And order molde is retried through another instance
    Then the retry gets outcome unknown
    And no order has more than one effect

  Scenario: Orders are refused while the log is down and run once when append responses are lost
    Given order early was answered
    And every instance returns the recorded response of order early
    When the log is down
    And order molde is sent once
    Then it is refused as not run, with Retry-After
    And a retry of order early gets the recorded response
    When the log recovers but loses the responses of 2 appends
    And order molde is retried until it is answered
    Then order molde has exactly one effect
    And each order has exactly one effect

  Scenario: An order runs at most once when its instance freezes after it recorded the intent
    Given the log responds 300 ms late
    When order molde is sent through the first instance and runs for 1 ms
    And the first instance is frozen
    And order molde is retried through another instance
    And the first instance is resumed
    Then the outcomes reported for order molde agree with its effects
    And no order has more than one effect
