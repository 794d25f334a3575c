Feature: A key has at most one owner at any time

  Scenario: The owner of a key is killed
    Given the platform runs
    And 2 router instances in failure domains domain-a, domain-b
    And a keyed service archive of 3 servers
    And the preset day is in force
    And key molde of archive is served
    When the owner of key molde of archive is killed
    Then key molde of archive is served again
    And no partition had two owners

  Scenario: The owner of a key freezes, loses its keys and wakes
    Given the platform runs
    And 2 router instances in failure domains domain-a, domain-b
    And a keyed service archive of 3 servers
    And the preset day is in force
    And key molde of archive is served
    When the owner of key molde of archive is frozen
    And key molde of archive is served again
    And that server is thawed
    Then key molde of archive is served again
    And no partition had two owners
