Feature: A request that is told as not run was not run

  Scenario: Servers shed, freeze and are lost, and an instance is killed, under orders
    Given the platform runs
    And 3 router instances in failure domains domain-a, domain-b, domain-c
    And a service ordering of 4 servers
    And the preset day is in force
    When orders are sent through all instances
    And server ordering-1 sheds all work
    And server ordering-2 freezes
    And server ordering-3 is killed
    And orders are sent through all instances
    And an instance is killed while orders are sent
    And server ordering-2 wakes and runs what it had taken in
    Then no order told as not run has an effect
    And every order told as answered has one effect
    And some orders were told as not run, as answered and as unknown
