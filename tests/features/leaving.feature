Feature: Leaving backend servers get no new work, and shutdown cuts off nothing

  Scenario: Backend servers leave, each by another signal
    Given the platform runs
    And 2 router instances in failure domains domain-a, domain-b
    And a service program of 4 servers
    And the preset day is in force
    When server program-4 is leaving by its own word
    And each instance was told so by a probe
    Then server program-4 has run nothing after pages of program were asked for
    And pages of program are served by program-1, program-2, program-3
    When server program-1 is leaving by its own word
    Then server program-1 gets no more work
    When server program-2 is leaving by the instance list
    Then server program-2 gets no more work

  Scenario: A backend server leaves by the preset, then a router instance under load
    Given the platform runs
    And 2 router instances in failure domains domain-a, domain-b
    And a service program of 3 servers
    And the preset day is in force
    And pages of program are served by program-1, program-2, program-3
    When server program-3 is leaving by the preset
    Then server program-3 gets no more work
    When a balancer sends pages of program without pause
    And instance router-1 is asked to end
    And it has ended
    Then every request the balancer sent has a whole answer
    And open connections to router-1 were told to close

  Scenario: A router instance that was paused is asked to end
    Given the platform runs
    And 1 router instances in failure domains domain-a
    When instance router-1 is paused and resumed
    And instance router-1 is asked to end
    Then it has ended
