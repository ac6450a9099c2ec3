"""The catalogue of numbered events; CI checks ``docs/EVENTS.md`` against it."""

from __future__ import annotations

from enum import Enum


class EventKind(Enum):
    """The kinds of events that a process records, with number and description."""

    NODE_STARTED = (100, "A node started; it does not serve calls yet.")
    NODE_STOPPING = (101, "A node began its graceful shutdown.")
    SETTINGS_RELOADED = (104, "The settings were reloaded.")
    NODE_STOPPED = (102, "A node finished its graceful shutdown.")
    SETTINGS_INVALID = (103, "The settings are invalid; the node did not start.")
    REVISION_SEEN = (200, "A node learned that a newer revision exists.")
    REVISION_STAGED = (201, "A node holds a complete and validated revision.")
    REVISION_ACTIVATED = (202, "A node began to serve a revision.")
    REVISION_REFUSED = (203, "A revision is invalid; the previous one stays active.")
    REVISION_COMMITTED = (204, "A new revision was committed to the platform.")
    CHANGE_REFUSED = (205, "An operator's change was refused.")
    PARTS_DAMAGED = (206, "A body does not match its digest; other sources are tried.")
    REVISION_REQUESTED = (207, "A node requested a newer revision from another one.")
    STORE_RESTORED = (208, "The store came back from an older copy; it is read anew.")
    ROW_REWRITTEN = (209, "A move's state that the store had lost was written again.")
    PLATFORM_LOST = (210, "The platform does not respond.")
    PLATFORM_BACK = (211, "The platform responds again.")
    WATCH_CHANGED = (
        213,
        "The zone's readers or lead, or the store's reachability changed.",
    )
    STORE_ANSWER_TIME = (214, "The store began or ceased to answer slowly.")
    EVACUATION_CHANGED = (215, "The evacuation of a zone was ordered or has ended.")
    FLOOR_KNOWN = (212, "A restarted node learned the lowest revision it may serve.")
    MEMBER_CHANGED = (300, "A host's member record changed.")
    MEMBER_REFUTED = (301, "This host refuted another host's claim about its state.")
    NODE_JOINED = (302, "This host joined the membership of the fleet.")
    ZONE_REACH = (303, "The set of unreachable availability zones changed.")
    LINK_UP = (304, "A link to another node was established.")
    LINK_LOST = (305, "A link to another node was lost or timed out.")
    MEMBER_REMOVED = (306, "The store row of a host that is gone was removed.")
    FRAME_REFUSED = (307, "A message of another node could not be read; it is ignored.")
    UPSTREAM_ANNOUNCED = (310, "An upstream announced itself to its host's node.")
    UPSTREAM_WITHDRAWN = (311, "An upstream withdrew or its heartbeat timed out.")
    UPSTREAM_DRAINING = (312, "An upstream accepts no new calls.")
    UPSTREAM_PROBED = (314, "An upstream was probed for whether its instance stays.")
    UPSTREAM_LIMITED = (315, "An upstream named, changed or lifted its rate limit.")
    UPSTREAM_HEADER_INVALID = (316, "An upstream's answer has an unreadable header.")
    DRAIN_ASKED = (313, "An operator started or ended a drain.")
    UPSTREAM_CRASHED = (
        317,
        "An upstream ended with calls in hand; some are suspected.",
    )
    UPSTREAM_COLD = (318, "An upstream became cold, or said that it is not cold.")
    CALL_NOT_RUN = (400, "A call was rejected before any of it ran.")
    CALL_UNKNOWN = (401, "It is unknown whether a call ran.")
    CALL_FAILED = (402, "An upstream answered a call with a server error.")
    CALL_TRY_ENDED = (403, "One attempt of a call ended without a response.")
    CALL_ENDED = (404, "A call was answered; a sample of the successes is logged.")
    CALL_CANCELLED = (405, "A caller disconnected before its call ended.")
    CALL_REPEATED = (406, "A call is retried on another upstream.")
    BUDGET_SPENT = (407, "A call was not retried: the retry budget is spent.")
    CALL_RAN = (408, "An upstream ran a call; a sample of these is logged.")
    REQUEST_REFUSED = (409, "A request was refused before it was sent to any node.")
    CALL_ABANDONED = (410, "An inbound proxy ended a call whose caller disconnected.")
    REQUEST_HELD = (411, "A request is held back: upstreams end when they run it.")
    SLOW_READER_CLOSED = (
        422,
        "A connection that did not read its response was closed, or a result dropped.",
    )
    RESPONSE_WITHOUT_ROOM = (423, "A response was dropped: there is no room for it.")
    CONNECTION_CLOSED = (424, "A caller's connection was closed: too many are open.")
    REQUEST_RELEASED = (412, "An operator ended the holding back of a request.")
    WORKSPACES_CHANGED = (
        413,
        "A configuration changed the workspaces, their keys or their terms.",
    )
    CALLS_HANG = (414, "Calls hang at an upstream; fewer are sent at once for a time.")
    ALLOTMENT_REFUSED = (
        418,
        "A request was refused for its workspace's rate; sampled.",
    )
    GRANT_UNANSWERED = (419, "A host didn't answer for a grant; others are asked.")
    GRANTING_BEGAN = (420, "A node began to grant in another's place, or again.")
    GRANTS_DISCARDED = (421, "A node did not run for long; its buckets start anew.")
    SPILL_STARTED = (426, "Calls of a service began to leave their zone.")
    SPILL_ENDED = (427, "Calls of a service stay in their zone again.")
    MOVE_STEPPED = (500, "A move's share or state changed.")
    MOVE_BRAKED = (501, "This node stopped sending calls to the new version.")
    MOVE_FINISHED = (502, "A move was completed or reverted.")
    MOVE_SUPERSEDED = (503, "A step had no effect; the move had changed meanwhile.")
    MOVE_ORDERED = (504, "An operator ordered a move.")
    LOOP_LATE = (903, "Timers fired late: the CPU was busy or unavailable.")
    LOG_DROPPED = (902, "Log lines were dropped: the log's reader is too slow.")
    TASK_FAILED = (900, "A task failed and was restarted.")
    STEP_FAILED = (904, "A step failed; the node went on with the next one.")
    LIBRARY_WARNING = (901, "A library logged a warning.")

    @property
    def number(self) -> int:
        """The event's number, which is the same in all versions."""
        return self.value[0]

    @property
    def meaning(self) -> str:
        """The event's description, one sentence."""
        return self.value[1]
