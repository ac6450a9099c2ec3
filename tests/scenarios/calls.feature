Feature: A cue or a dispatch runs once or not at all, and its caller is told the truth

  Scenario: Nodes and upstreams die and answers are lost while cues are fired
    Given the availability zones bangkok-1, bangkok-2 with 2 hosts each
    And slow upstreams of cue-desk v1 run on 4 hosts
    And the document siamsong is in force
    When callers send POST /cue-desk/fire and GET /cue-desk/script
    And the node of host 1 loses the next 5 answers
    And 1 seconds pass
    And the node of host 2 is killed
    And 1 seconds pass
    And the node of host 2 is started
    And the upstream of host 3 is killed
    And the node of host 3 loses the next 5 answers
    And 1 seconds pass
    And the node of host 4 is killed
    And 1 seconds pass
    Then some calls were answered
    And no call was lost, doubled, crossed or falsely refused

  Scenario: A caller repeats a key
    Given the availability zones bangkok-1, bangkok-2 with 2 hosts each
    And slow upstreams of cue-desk v1 run on 4 hosts
    And the document siamsong is in force
    When a cue is fired under one key through every host at once
    Then every caller got the same answer, and the cue ran once
    When the upstream of the key's home is replaced
    And the cue is fired again under the same key through every host
    Then every caller got the same answer, and the cue ran once
    When the node of the key's home is killed
    And the cue is fired again under the same key through every host
    Then every caller was told unknown, and the cue ran once
    When the node of the key's home is started
    And the cue is fired again under the same key through every host
    Then every caller was told unknown, and the cue ran once

  Scenario: A zone is cut off and comes back while cues are fired
    Given the availability zones bangkok-1, bangkok-2 with 2 hosts each
    And slow upstreams of cue-desk v1 run on 1 hosts
    And the document siamsong is in force
    When callers send POST /cue-desk/fire and GET /cue-desk/script
    And 1 seconds pass
    And availability zone bangkok-2 is cut off
    And 2 seconds pass
    And the cut is healed
    And 1 seconds pass
    And availability zone bangkok-2 is cut off
    And 1 seconds pass
    And the cut is healed
    Then some calls were answered
    And no call was lost, doubled, crossed or falsely refused

  Scenario: Callers that route by themselves outlive nodes and upstreams
    Given the availability zones bangkok-1, bangkok-2 with 2 hosts each
    And slow upstreams of cue-desk v1 run on 4 hosts
    And the document siamsong is in force
    When callers that route by themselves send POST /cue-desk/fire and GET /cue-desk/script
    And 1 seconds pass
    And the node of host 2 is killed
    And the upstream of host 3 is killed
    And the node of host 4 loses the next 5 answers
    And 2 seconds pass
    And the node of host 2 is started
    And 1 seconds pass
    Then some calls were answered
    And no call was lost, doubled, crossed or falsely refused

  Scenario: Three times as many calls come in as the upstreams can take
    Given the availability zones bangkok-1 with 2 hosts each
    And upstreams of panel-feed v1 with 2 slots and 100 ms of work run on 2 hosts
    And the document siamsong is in force
    When callers send GET /panel-feed/live and 5 times as many GET /panel-feed/archive at 120 calls a second for 4 seconds
    Then live look-ups were answered before archive reads
    And refusals came early and said not run
