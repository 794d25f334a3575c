Feature: All guarantees hold through two concurrent failures

  Scenario Outline: Two failures chosen by seed break no guarantee under load
    Given the platform runs
    And 3 router instances in failure domains domain-a, domain-b, domain-c
    And a keyed service archive of 3 servers
    And preset day is published
    And key molde of archive is served
    When callers read and order continuously
    And 40 more requests have finished
    And two failures chosen by seed <seed> begin
    And 40 more requests have finished
    And both failures end
    Then key molde of archive is served again
    And the callers stop
    And no partition had two owners
    And no order ran twice
    And every answered order ran, and no order with only refusals ran
    And every response to a read matched its request

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
