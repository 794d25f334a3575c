Feature: An accepted preset is in force everywhere within seconds and never goes back

  Scenario: Operators race, an answer is lost, and an instance is cut from the platform
    Given the platform runs
    And 3 instances that notice a loss soon
    And a service program of 1 servers
    And the preset day is in force
    When two operators publish on the same base at the same time
    Then one is accepted and the other is told which preset came first
    When the log loses the answer to the next append
    Then preset evening is accepted
    When instance router-3 is cut from the platform
    Then preset night is accepted
    And the watch says that it is everywhere
    And every instance has preset night

  Scenario: An instance is frozen across two presets and wakes
    Given the platform runs
    And 3 instances that notice a loss soon
    And a service program of 1 servers
    And the preset day is in force
    And the watch says that it is everywhere
    When instance router-2 is frozen
    And a request for program waits at it
    And a preset with services and then one without are published
    Then the watch names router-2 and never says that it is everywhere
    When the platform answers slowly
    And instance router-2 is thawed
    Then the request that waited was not served
    And the watch says that it is everywhere

  Scenario: An instance starts onto a snapshot older than the preset in force
    Given the platform runs
    And 2 instances that notice a loss soon, snapshots every 2
    And a service program of 1 servers
    And the preset day is in force
    And the snapshot holds preset day
    When presets without services are published twice
    And the log forgets all before the snapshot
    And instance router-1 is replaced and reads the log slowly
    Then it never serves program and never says that it is ready under preset day
