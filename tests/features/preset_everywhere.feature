Feature: An accepted preset takes effect on all instances within seconds and is never reverted

  Scenario: Presets take effect despite concurrent publishers, a lost response and a partition
    Given the platform runs
    And 3 instances with short detection timeouts
    And an unkeyed service program of 1 servers
    And preset day is published
    When two operators publish on the same base concurrently
    Then one preset is accepted and the other is rejected with the name of the accepted one
    When the log loses the response to the next append
    Then publishing preset evening is accepted
    When instance router-3 is partitioned from the platform
    Then publishing preset night is accepted
    And the watch reports that the preset is in force everywhere
    And every instance has preset night

  Scenario: An instance frozen while two presets are published serves nothing under the first one
    Given the platform runs
    And 3 instances with short detection timeouts
    And an unkeyed service program of 1 servers
    And preset day is published
    And the watch reports that the preset is in force everywhere
    When instance router-2 is frozen
    And a request for program is sent to it
    And a preset with services and then one without are published
    Then the watch names router-2 and does not report the preset in force everywhere
    When the platform responds slowly
    And instance router-2 is resumed
    Then the request sent to the frozen instance was not served
    And the watch reports that the preset is in force everywhere

  Scenario: An instance that starts from an outdated snapshot waits for the preset in force
    Given the platform runs
    And 2 instances with short detection timeouts and a snapshot every 2 records
    And an unkeyed service program of 1 servers
    And preset day is published
    And a snapshot holds preset day and router-2 is killed
    When presets without services are published twice
    And the log expires all entries before the snapshot
    And instance router-1 is restarted and reads the log slowly
    Then it never serves program and is never ready under preset day
