Feature: Nobody waits past their deadline without an answer

  Scenario: The only backend server drips, then freezes; of several one freezes
    Given the platform runs
    And 1 router instances in failure domains domain-a
    And a service program of 1 servers
    And a service ceremony of 3 servers
    And the preset day is in force
    And page today of program is served
    And page today of ceremony is served
    When server program-1 drips its answers for longer than any deadline
    Then page today of program within 1000 ms is answered as unknown by answer_timeout
    When server program-1 is frozen
    Then page today of program within 1000 ms is answered as unknown by answer_timeout
    When server ceremony-1 is frozen
    Then 100 pages of ceremony are all served within 2000 ms
