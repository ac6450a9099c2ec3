Feature: Operators change their own sections and read back what became of it

  Background:
    Given the availability zones bangkok-1, bangkok-2 with 1 hosts each
    And cue-desk v1 runs on 2 hosts
    And the document siamsong is in force

  Scenario: A team cannot change another team's section
    When the panel-team applies cue-desk with "timeout_ms: 1500" as "timeout_ms: 1600"
    Then it is told "belongs to owner 'cue-team'" and the exit status is FORBIDDEN
    And nothing of the document changed

  Scenario: Two clerks race on the same section
    When the cue-team reads cue-desk to edit it
    And the cue-team applies cue-desk with "timeout_ms: 1500" as "timeout_ms: 1600"
    And the cue-team applies what it read with "timeout_ms: 1500" as "timeout_ms: 1700"
    Then it is told "was changed meanwhile" and the exit status is LOST_RACE
    And "timeout_ms: 1600" is in force

  Scenario: A section with faults is refused with all of its findings
    When the cue-team applies cue-desk with "service: cue-desk" as "service: nowhere"
    Then it is told "points at service 'nowhere'" and the exit status is FINDINGS
    And nothing of the document changed

  Scenario: The platform is out of reach, and answers get lost
    When the platform's table service is down
    And the cue-team applies cue-desk with "timeout_ms: 1500" as "timeout_ms: 1600"
    Then it is told "was not made" and the exit status is PLATFORM_UNREACHABLE
    And nothing of the document changed
    When the platform is back
    And the platform loses the answer of the next write of its table service
    And the cue-team applies cue-desk with "timeout_ms: 1500" as "timeout_ms: 1700"
    Then the exit status is DONE
    And "timeout_ms: 1700" is in force
    And the document changed once

  Scenario: An upstream is drained and taken back into service
    When callers send POST /cue-desk/fire
    And the cue-team drains the upstream of host 2
    Then the upstream of host 2 gets no new work after 3 seconds
    When the cue-team ends the drain of the upstream of host 2
    Then the upstream of host 2 gets new work
    And no call was lost, doubled, crossed or falsely refused

  Scenario: The time line explains a change and a refused call
    When the cue-team applies cue-desk with "timeout_ms: 1500" as "timeout_ms: 1600"
    Then the time line shows the change on every host in causal order
    When a caller asks for /panel-feed/live, which nothing serves
    Then the time line explains that request
