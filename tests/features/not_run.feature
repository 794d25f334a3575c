Feature: A request reported as not run was not run

  Scenario: Outcomes agree with effects while servers shed, freeze and crash and an instance is killed
    Given the platform runs
    And 3 router instances in failure domains domain-a, domain-b, domain-c
    And an unkeyed service ordering of 4 servers
    And preset day is published
    When orders are sent through all instances
    And server ordering-1 sheds all requests
    And server ordering-2 freezes
    And server ordering-3 is killed
    And orders are sent through all instances
    And an instance is killed while orders are sent
    And server ordering-2 resumes and runs the requests it had received
    Then no order reported as not run has an effect
    And every order reported as answered has one effect
    And some orders were reported as not run, some as answered and some as unknown
