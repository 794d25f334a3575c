Feature: Draining servers get no new requests, and a shutdown interrupts no request

  Scenario: A server that drains by its own report or by the instance list gets no more requests
    Given the platform runs
    And 2 router instances in failure domains domain-a, domain-b
    And an unkeyed service program of 4 servers
    And preset day is published
    When server program-4 reports that it is draining
    And each instance has learned this from a health check
    Then server program-4 has run nothing after pages of program were requested
    And pages of program are served by program-1, program-2, program-3
    When server program-1 reports that it is draining
    Then server program-1 gets no more requests
    When the instance list marks server program-2 as leaving
    Then server program-2 gets no more requests

  Scenario: A server drained by the preset gets no more requests, and a router shutdown fails none
    Given the platform runs
    And 2 router instances in failure domains domain-a, domain-b
    And an unkeyed service program of 3 servers
    And preset day is published
    And pages of program are served by program-1, program-2, program-3
    When a preset marks server program-3 as draining
    Then server program-3 gets no more requests
    When a load balancer requests pages of program continuously
    And instance router-1 gets SIGTERM
    And it has exited with status 0
    Then every request of the load balancer got a complete response
    And only router-1 closed persistent connections

  Scenario: A router instance that was paused and resumed shuts down on SIGTERM
    Given the platform runs
    And 1 router instances in failure domains domain-a
    When instance router-1 is paused and resumed
    And instance router-1 gets SIGTERM
    Then it has exited with status 0
