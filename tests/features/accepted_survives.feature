Feature: Accepted assignments survive every tolerated loss of instances and log entries

  Scenario: Rolling and simultaneous restarts of all instances keep the owner and the preset
    Given the platform runs
    And 3 instances with short detection timeouts
    And a keyed service archive of 2 servers
    And preset day is published
    And the assignment of key molde of archive is recorded
    When a truncated record is appended to the log
    And all instances are restarted one after another
    Then every instance reports the recorded assignment
    When all instances are restarted at once
    Then every instance reports the recorded assignment
    And key molde of archive is served again
    And the truncated record is counted as malformed

  Scenario: Restarts during an outage keep the assignment, also when log entries expire meanwhile
    Given the platform runs
    And 3 instances with short detection timeouts and a snapshot every 2 records
    And a keyed service archive of 2 servers
    And preset day is published
    And the assignment of key molde of archive is recorded
    And the log holds a snapshot of this assignment
    When the platform goes down
    And all instances are restarted one after another
    Then every instance reports the recorded assignment
    When all instances are restarted at once
    Then no instance is ready or serves key molde of archive
    When the log expires all entries up to this assignment
    And the platform recovers
    Then every instance reports the recorded assignment
    And key molde of archive is served again

  Scenario: Instances restore the state from a snapshot or a peer after earlier log entries expired
    Given the platform runs
    And 3 instances with short detection timeouts
    And a keyed service archive of 2 servers
    And preset day is published
    And the assignment of key molde of archive is recorded
    When the log expires all entries
    And the log holds a snapshot of this assignment
    And all instances are restarted at once
    Then every instance reports the recorded assignment
    When the platform goes down
    And all instances are restarted one after another
    Then every instance reports the recorded assignment

  Scenario: Instances refuse requests after all replicas and all log entries are lost
    Given the platform runs
    And 2 instances with short detection timeouts
    And a keyed service archive of 1 servers
    And preset day is published
    And the assignment of key molde of archive is recorded
    When all instances are killed and the log expires all entries before they are restarted
    Then every instance refuses key molde of archive because its state is missing
