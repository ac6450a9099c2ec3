Feature: A planned stop cuts no request

  Scenario: A node and an upstream stop under load
    Given the availability zones bangkok-1, bangkok-2 with 3 hosts each
    And cue-desk v1 runs on 6 hosts
    And the document siamsong is in force
    When callers send POST /cue-desk/fire and GET /cue-desk/script
    And 1 seconds pass
    And the upstream of host 1 is stopped gracefully
    And the node of host 2 is stopped gracefully
    And 1 seconds pass
    Then every call was answered
    And no call was lost, doubled, crossed or falsely refused

  Scenario: A caller on an idle connection is told that its call did not run
    Given the availability zones bangkok-1 with 3 hosts each
    And cue-desk v1 runs on 3 hosts
    And the document siamsong is in force
    When a caller keeps a connection to host 1
    And the node of host 1 begins to stop
    And 1 seconds pass
    Then the caller's next request there is refused as not run, with Connection: close

  Scenario: A rolling restart of every host, one zone at a time
    Given the availability zones northshire-1, northshire-2, northshire-3 with 2 hosts each
    And counter v1 runs on 6 hosts
    And the document guild is in force
    When callers send POST /counter/dispatch and GET /counter/lookup
    And all hosts are restarted, one zone at a time
    Then every call was answered
    And no call was lost, doubled, crossed or falsely refused
    And no host ever served an older revision
