Feature: Every request is answered by its deadline

  Scenario: Slow and frozen servers cause timeouts, and requests succeed if other servers are left
    Given the platform runs
    And 1 router instances in failure domains domain-a
    And an unkeyed service program of 1 servers
    And an unkeyed service ceremony of 3 servers
    And preset day is published
    And page today of program is served
    And page today of ceremony is served
    When server program-1 sends its responses byte by byte for longer than any deadline
    Then page today of program with deadline 1000 ms gets outcome unknown with reason answer_timeout
    When server program-1 is frozen
    Then page today of program with deadline 1000 ms gets outcome unknown with reason answer_timeout
    When server ceremony-1 is frozen
    Then 100 pages of ceremony with deadline 2000 ms are all served
