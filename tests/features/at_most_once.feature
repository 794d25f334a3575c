Feature: Non-idempotent work runs at most once

  Background:
    Given the platform runs
    And 3 router instances in failure domains domain-a, domain-b, domain-c
    And a service ordering of 2 servers
    And the preset day is in force
    And every instance answers

  Scenario: Orders race through all instances at the same moment and are repeated later
    When 30 orders are each sent through all instances at the same moment
    And each order is repeated through all instances
    Then every repeat got the first one's answer
    And each order has exactly one effect

  Scenario: The first instance is killed in the middle of an order
    When order molde is sent through the first instance and runs for 1500 ms
    And the first instance is killed
    And order molde is repeated through another instance
    Then the repeat is told that the outcome is unknown
    And no order has more than one effect

  Scenario: The log is down, then its answers are lost
    Given order early was answered
    And every instance answers order early from its record
    When the log is down
    And order molde is sent once
    Then it is refused as not run, to be repeated later
    And order early is answered from its record
    When the log answers again but loses the answers of 2 appends
    And order molde is sent until answered
    Then order molde has exactly one effect
    And each order has exactly one effect

  Scenario: An instance freezes once its intent is recorded and wakes after a repeat
    Given the log answers 300 ms late
    When order molde is sent through the first instance and runs for 1 ms
    And the first instance is frozen
    And order molde is repeated through another instance
    And the first instance is thawed
    Then what callers were told of order molde agrees with its effects
    And no order has more than one effect
