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

  Scenario: The owner of a key freezes, loses its keys and wakes with renewals and requests to read
    Given the platform runs
    And 2 router instances in failure domains domain-a, domain-b
    And a keyed service archive of 3 servers
    And the preset day is in force
    And key molde of archive is served
    When the owner of key molde of archive is frozen
    And 12 requests for key molde of archive are under way
    And key molde of archive is served again
    And that server is thawed
    Then the requests under way have their answers
    And key molde of archive is served again
    And no partition had two owners

  Scenario: A lessor freezes while the log is slow, wakes, and its successor is killed
    Given the platform runs
    And 4 router instances in failure domains domain-a, domain-b
    And a keyed service archive of 3 servers
    And the preset day is in force
    And key molde of archive is served
    And the owner of key molde of archive is noted
    When the log answers 200 ms late
    And the lessor of key molde of archive is frozen
    Then key molde of archive has another lessor
    And key molde of archive is served again
    When that lessor is thawed
    And the lessor of key molde of archive is killed
    Then key molde of archive has another lessor
    And key molde of archive is served again
    And key molde of archive has kept its owner
    And no partition had two owners

  Scenario: The log is down for a while, and then an owner and its lessor are lost together
    Given the platform runs
    And a lessor's authority lasts 3 seconds
    And 4 router instances in failure domains domain-a, domain-b
    And a keyed service archive of 3 servers
    And the preset day is in force
    And key molde of archive is served
    And the owner of key molde of archive is noted
    When the log is down for 2 seconds of requests for key molde of archive
    Then every one of these requests was answered
    And key molde of archive has kept its owner
    When the owner of key molde of archive and its lessor are killed
    Then key molde of archive is served again
    And no partition had two owners
