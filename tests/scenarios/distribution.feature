Feature: Every host serves what the document says, whole, and never anything older

  Scenario: A host restarts without disk while the platform is down
    Given the availability zones bangkok-1, bangkok-2 with 3 hosts each
    And the document siamsong is in force
    When the node of host 2 is frozen
    And the owner of cue-desk changes timeout_ms: 1000 to timeout_ms: 1600 in siamsong
    And every host but host 2 serves the newest revision
    And the whole platform is down
    And the node of host 1 is killed
    And the node of host 2 goes on
    And the node of host 1 is started
    Then every host serves that revision within the bound
    And no host ever served an older revision

  Scenario: A zone without the platform hears of a change from another zone
    Given the availability zones bangkok-1, bangkok-2, bangkok-3 with 2 hosts each
    And the document siamsong is in force
    When availability zone bangkok-3 is cut off from the platform
    And the owner of cue-desk changes timeout_ms: 1000 to timeout_ms: 1600 in siamsong
    Then every host serves the newest revision within the bound
    And no host ever served an older revision

  Scenario: Only the committing host reaches the object store
    Given the availability zones bangkok-1, bangkok-2 with 3 hosts each
    And the document siamsong is in force
    When all hosts but host 1 are cut off from the object store
    And the owner of cue-desk changes timeout_ms: 1000 to timeout_ms: 1600 in siamsong
    Then every host serves the newest revision within the bound

  Scenario: All hosts restart at once while the table is down
    Given the availability zones northshire-1 with 10 hosts each
    And the document guild is in force
    When the platform's table service is down
    And all hosts are killed and started at once
    Then every host serves the newest revision within the bound
    And the head row was read at most 3 times a second in each availability zone
    And no limit of the platform was passed
    And no host ever served an older revision

  Scenario: An answer is lost after its write took effect
    Given the availability zones bangkok-1, bangkok-2 with 2 hosts each
    And the document siamsong is in force
    When the platform loses the answer of the next write to the table
    And the owner of cue-desk changes timeout_ms: 1000 to timeout_ms: 1600 in siamsong
    Then every host serves the newest revision within the bound
    And exactly 1 revision came of it

  Scenario: A bad version gets past all checks of the commit
    Given the availability zones bangkok-1, bangkok-2 with 2 hosts each
    And the document siamsong is in force
    When a revision with one changed section and one route into nowhere is forced in
    And 2 seconds pass
    Then every host serves the revision before it, whole
    And every host reports the finding with its place
