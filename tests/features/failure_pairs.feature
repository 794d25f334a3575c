Feature: What must always hold holds through two failures at once

  Scenario Outline: Two failures drawn from a seed, under load
    Given the platform runs
    And 3 router instances in failure domains domain-a, domain-b, domain-c
    And a keyed service archive of 3 servers
    And the preset day is in force
    And key molde of archive is served
    When callers read and order all the time
    And 40 more requests have ended
    And two failures drawn from seed <seed> begin
    And 40 more requests have ended
    And those failures end
    Then key molde of archive is served again
    And the callers stop
    And no partition had two owners
    And no order ran twice
    And every order that was answered ran once, and every one refused never
    And every answer was the caller's own

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
