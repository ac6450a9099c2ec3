Feature: A document goes in, a request comes out

  Scenario: A cue fires through the nodes
    Given the availability zones bangkok-1, bangkok-2, bangkok-3 with 2 hosts each
    And cue-desk v1 runs on 5 hosts
    And the document siamsong is in force
    When callers send POST /cue-desk/fire and GET /cue-desk/script
    And 2 seconds pass
    Then some calls were answered
    And no call was lost, doubled, crossed or falsely refused
    And no host ever served an older revision
