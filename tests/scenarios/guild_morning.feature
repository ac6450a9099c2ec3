Feature: A Guild morning

  Scenario: Dispatches go out through a herd restart, an outage, a race and a migration
    Given the availability zones northshire-1, northshire-2, northshire-3 with 2 hosts each
    And counter v1 runs on 5 hosts
    And archive v1 runs on 6 hosts
    And the document guild is in force
    And archive v2 runs on 6 hosts
    When callers send POST /counter/dispatch and GET /counter/lookup and GET /archive/letter
    And the owner of archive moves archive in guild to v2 within 60 seconds
    And every node is killed and started at once
    And the platform's table service is down
    And 4 seconds pass
    And the platform is back
    And two operators change counter in guild at once
    Then one of them is told of the lost race
    And the move archive-v2 ends done in time
    And every host serves the newest revision within the bound
    And no host ever served an older revision
    And no call was lost, doubled, crossed or falsely refused
