Feature: An accepted assignment survives every loss that the system claims to tolerate

  Scenario: All instances are replaced one after another, then all at once
    Given the platform runs
    And 3 instances that notice a loss soon
    And a keyed service archive of 2 servers
    And the preset day is in force
    And the owner of key molde of archive is known
    When a truncated record is appended to the log
    And all instances are replaced one after another
    Then every instance names the same owner and preset
    When all instances are replaced at once
    Then every instance names the same owner and preset
    And key molde of archive is served again
    And the truncated record was counted

  Scenario: All instances are replaced during an outage, in the middle of which retention passes
    Given the platform runs
    And 3 instances that notice a loss soon, snapshots every 2
    And a keyed service archive of 2 servers
    And the preset day is in force
    And the owner of key molde of archive is known
    And a snapshot of it stands in the log
    When the platform goes down
    And all instances are replaced one after another
    Then every instance names the same owner and preset
    When all instances are replaced at once
    Then no instance is ready or answers for key molde of archive
    When the log forgets all before the snapshot
    And the platform comes back
    Then every instance names the same owner and preset
    And key molde of archive is served again

  Scenario: The log's beginning has expired, and only the instances have the state
    Given the platform runs
    And 3 instances that notice a loss soon
    And a keyed service archive of 2 servers
    And the preset day is in force
    And the owner of key molde of archive is known
    When the log forgets all entries
    And a snapshot of it stands in the log
    And all instances are replaced at once
    Then every instance names the same owner and preset
    When the platform goes down
    And all instances are replaced one after another
    Then every instance names the same owner and preset

  Scenario: All instances are lost, and the log forgets all before others start
    Given the platform runs
    And 2 instances that notice a loss soon
    And a keyed service archive of 1 servers
    And the preset day is in force
    And the owner of key molde of archive is known
    When all instances are lost and the log forgets all entries before others start
    Then every instance refuses key molde of archive because its state is missing
