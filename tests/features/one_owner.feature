Feature: A key has at most one owner at any time

  Scenario: Another server takes over a key when its owner is killed
    Given the platform runs
    And 2 router instances in failure domains domain-a, domain-b
    And a keyed service archive of 3 servers
    And preset day is published
    And key molde of archive is served
    When the owner of key molde of archive is killed
    Then key molde of archive is served again
    And no partition had two owners

  Scenario: A frozen owner that lost its keys does not act as owner when it reads buffered requests
    Given the platform runs
    And 2 router instances in failure domains domain-a, domain-b
    And a keyed service archive of 3 servers
    And preset day is published
    And key molde of archive is served
    When the owner of key molde of archive is frozen
    And 12 requests for key molde of archive are in flight
    And key molde of archive is served again
    And that server is resumed
    Then the requests in flight get responses
    And key molde of archive is served again
    And no partition had two owners

  Scenario: A key keeps its owner when its lessor freezes during slow appends and the next is killed
    Given the platform runs
    And 4 router instances in failure domains domain-a, domain-b
    And a keyed service archive of 3 servers
    And preset day is published
    And key molde of archive is served
    And the owner of key molde of archive is recorded
    When the log responds 200 ms late
    And the lessor of key molde of archive is frozen
    Then key molde of archive has another lessor
    And key molde of archive is served again
    When that lessor is resumed
    And the lessor of key molde of archive is killed
    Then key molde of archive has another lessor
    And key molde of archive is served again
    And key molde of archive still has the recorded owner
    And no partition had two owners

  Scenario: A key is served during a log outage and after its owner and its lessor are lost together
    Given the platform runs
    And a lessor's authority lasts 3 seconds
    And 4 router instances in failure domains domain-a, domain-b
    And a keyed service archive of 3 servers
    And preset day is published
    And key molde of archive is served
    And the owner of key molde of archive is recorded
    When the log is down for 2 seconds while key molde of archive is requested
    Then every request during the outage succeeded
    And key molde of archive still has the recorded owner
    When the owner of key molde of archive and its lessor are killed
    Then key molde of archive is served again
    And no partition had two owners
