Feature: Hosts and upstreams come and go

  Scenario: A host dies, and another takes its address with its clock behind
    Given the availability zones bangkok-1, bangkok-2 with 4 hosts each
    Then all hosts know 8 live hosts within 10 seconds
    When the node of host 2 is killed
    Then all other hosts take host 2 for dead within 10 seconds
    When the node of host 2 is started with its clock 3600 seconds behind
    Then all hosts take host 2 for alive within 10 seconds
    And host 2 joined above its predecessor and had nothing to refute
    When the node of host 5 is stopped gracefully
    Then all other hosts take host 5 for left within 10 seconds

  Scenario: A paused host comes back
    Given the availability zones bangkok-1, bangkok-2, bangkok-3 with 3 hosts each
    And cue-desk v1 runs on 5 hosts
    And the document siamsong is in force
    When callers send POST /cue-desk/fire and GET /cue-desk/script
    And the node of host 2 is frozen
    Then all other hosts take host 2 for dead within 10 seconds
    When the owner of cue-desk changes timeout_ms: 1500 to timeout_ms: 1400 in siamsong
    And the node of host 2 goes on
    Then all hosts take host 2 for alive within 10 seconds
    And host 2 refuted what was said of it
    And every host serves the newest revision within the bound
    And no host ever served an older revision
    And no call was lost, doubled, crossed or falsely refused

  Scenario: One host cannot reach another, but others can
    Given the availability zones bangkok-1 with 4 hosts each
    Then all hosts know 4 live hosts within 10 seconds
    When host 2 cannot reach host 1
    And 4 seconds pass
    Then no host ever doubted host 1

  Scenario: A host cut off from everybody is not the only survivor
    Given the availability zones bangkok-1, bangkok-2 with 4 hosts each
    And cue-desk v1 runs on 5 hosts
    Then only the upstreams of hosts 1, 2, 3, 4, 5 are announced within 10 seconds
    When host 1 is cut off from all others
    Then hosts 2 to 8 take host 1 for dead within 10 seconds
    When 3 seconds pass
    Then host 1 still knows 5 upstreams and takes nobody for dead
    When the cut is healed
    Then all hosts take host 1 for alive within 10 seconds

  Scenario: A cut-off zone serves with what it has, and heals fast
    Given the availability zones bangkok-1, bangkok-2, bangkok-3 with 3 hosts each
    And cue-desk v1 runs on 9 hosts
    And the document siamsong is in force
    When availability zone bangkok-3 is cut off
    And 3 seconds pass
    And callers of hosts 7 to 9 send GET /cue-desk/script
    And 2 seconds pass
    Then every call was answered
    And nobody takes anybody for dead
    And host 7 has no contact with bangkok-1 and bangkok-2
    When the cut is healed
    Then all hosts are in contact with all zones within 10 seconds

  Scenario: Hosts without seeds find each other, also past a stale registry
    Given the availability zones northshire-1, northshire-2 with 3 hosts each and no seeds
    Then all hosts know 6 live hosts within 10 seconds
    And the registry lists the hosts of northshire-1
    When the node of host 1 is killed
    And the registry of northshire-1 lists only hosts that are gone
    And the node of host 1 is started
    Then all hosts know 6 live hosts within 10 seconds
    And the registry lists the hosts of northshire-1
    When the platform's table service is down
    And the node of host 2 is killed
    Then all other hosts take host 2 for dead within 10 seconds
    When the node of host 2 is started
    Then all hosts know 6 live hosts within 20 seconds

  Scenario: A leaving upstream gets no new work
    Given the availability zones bangkok-1, bangkok-2 with 3 hosts each
    And cue-desk v1 runs on 4 hosts
    And the document siamsong is in force
    When callers send POST /cue-desk/fire and GET /cue-desk/script
    And 1 seconds pass
    And the upstream of host 1 says that it leaves
    And 4 seconds pass
    Then the upstream of host 1 ran nothing from 3 seconds after that on
    And no call was lost, doubled, crossed or falsely refused

  Scenario: Upstreams and nodes die apart
    Given the availability zones northshire-1, northshire-2 with 3 hosts each
    And counter v1 runs on 4 hosts
    And the document guild is in force
    When callers send POST /counter/dispatch and GET /counter/lookup
    And the upstream of host 1 is frozen
    And the upstream of host 2 is killed
    And the node of host 3 is killed
    Then only the upstreams of hosts 4 are announced within 10 seconds
    When the upstream of host 1 goes on
    And the node of host 3 is started
    Then only the upstreams of hosts 1, 3, 4 are announced within 10 seconds
    And the upstream of host 1 gets work again
    And the upstream of host 3 gets work again
    And no call was lost, doubled, crossed or falsely refused
