Feature: An opening night at Siamsong

  Scenario: Cues fire through a move, a zone cut and a replaced host
    Given the availability zones bangkok-1, bangkok-2, bangkok-3 with 2 hosts each
    And cue-desk v1 runs on 5 hosts
    And panel-feed v1 runs on 6 hosts
    And the document siamsong is in force
    And cue-desk v2 runs on 5 hosts
    When callers send POST /cue-desk/fire and GET /cue-desk/script and GET /panel-feed/live
    And the owner of cue-desk moves cue-desk in siamsong to v2 within 60 seconds
    And 3 seconds pass
    And availability zone bangkok-3 is cut off
    And 4 seconds pass
    And the cut is healed
    And host 2 is replaced
    Then the move cue-desk-v2 ends done in time
    And every host serves the newest revision within the bound
    And no host ever served an older revision
    And no call was lost, doubled, crossed or falsely refused
    And the time line tells of the move cue-desk-v2 in causal order
