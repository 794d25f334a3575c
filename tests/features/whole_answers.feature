Feature: Every caller gets the whole answer to its own request

  Scenario: Thousands of callers at once while servers truncate and mix up answers
    Given the platform runs
    And 2 router instances in failure domains domain-a, domain-b
    And a service program of 3 servers
    And the preset day is in force
    And instances are reached
    When 1000 callers ask at the same time
    And server program-1 truncates its answers
    And server program-2 answers under another request's identifier
    And 1000 callers ask at the same time
    Then every answer is whole and its caller's own
    And only server program-3 answered at the end
