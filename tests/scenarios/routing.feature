Feature: Calls go to upstreams that are fit, whatever their health endpoints say

  Scenario: A failing and a slow upstream are left out, and let back in
    Given the availability zones bangkok-1, bangkok-2 with 3 hosts each
    And cue-desk v1 runs on 6 hosts
    And the document siamsong is in force
    When many callers send GET /cue-desk/script
    And the upstream of host 1 fails every call and that of host 2 is 150 ms slow
    Then fewer than 1 in 20 of the calls of 3 seconds go to the upstreams of hosts 1, 2 in the end
    When the upstreams of hosts 1, 2 are mended
    Then the upstream of host 1 gets work again
    And the upstream of host 2 gets work again
    And more than 1 in 10 of the calls of 3 seconds go to the upstreams of hosts 1, 2 in the end

  Scenario: Calls stay near while there is room
    Given the availability zones bangkok-1, bangkok-2 with 3 hosts each
    And cue-desk v1 runs on 5 hosts
    And the document siamsong is in force
    When callers of hosts 6 to 6 send GET /cue-desk/script
    And 2 seconds pass
    Then only the upstreams of hosts 4, 5 ran calls, both of them
