"""The catalogue of numbered events; ``docs/EVENTS.md`` is checked against it."""

from __future__ import annotations

from enum import Enum


class EventKind(Enum):
    """Every event that a process records: its number and what it means."""

    NODE_STARTED = (100, "A node started; it serves nothing yet.")
    NODE_STOPPING = (101, "A node began its graceful shutdown.")
    SETTINGS_RELOADED = (104, "The settings were read again.")
    NODE_STOPPED = (102, "A node finished its graceful shutdown.")
    SETTINGS_INVALID = (103, "The settings have findings; nothing was started.")
    REVISION_SEEN = (200, "A node learned that a newer revision exists.")
    REVISION_STAGED = (201, "A node holds a complete, checked revision.")
    REVISION_ACTIVATED = (202, "A node began to serve a revision.")
    REVISION_REFUSED = (203, "A revision is invalid; the old one serves on.")
    REVISION_COMMITTED = (204, "A new revision was committed to the platform.")
    CHANGE_REFUSED = (205, "An operator's change was refused.")
    PARTS_DAMAGED = (206, "A body does not match its digest; others are asked for it.")
    PLATFORM_LOST = (210, "The platform does not answer.")
    PLATFORM_BACK = (211, "The platform answers again.")
    WATCH_CHANGED = (213, "Who watches the store for the zone, or its answer, changed.")
    FLOOR_KNOWN = (212, "A restarted node learned the lowest revision to serve.")
    MEMBER_CHANGED = (300, "The view of a host changed.")
    MEMBER_REFUTED = (301, "This host refuted another host's word about it.")
    NODE_JOINED = (302, "This host's entry began to count in the fleet.")
    ZONE_REACH = (303, "The set of availability zones out of reach changed.")
    LINK_UP = (304, "The connection to another node is up.")
    LINK_LOST = (305, "The connection to another node was lost or fell silent.")
    MEMBER_REMOVED = (306, "The row of a host that is gone was removed.")
    UPSTREAM_ANNOUNCED = (310, "An upstream announced itself to its host's node.")
    UPSTREAM_WITHDRAWN = (311, "An upstream left or its heartbeat lapsed.")
    UPSTREAM_DRAINING = (312, "An upstream takes no new work.")
    UPSTREAM_PROBED = (314, "An upstream was asked whether it stays, and answered.")
    DRAIN_ASKED = (313, "An operator began or ended a drain.")
    CALL_NOT_RUN = (400, "A call was refused before any of it ran.")
    CALL_UNKNOWN = (401, "It is unknown whether a call ran.")
    CALL_FAILED = (402, "An upstream answered a call with a server error.")
    CALL_TRY_ENDED = (403, "One try of a call ended without an answer.")
    CALL_ENDED = (404, "A call ended well; a sample of these is logged.")
    CALL_CANCELLED = (405, "A caller left before its call ended.")
    CALL_REPEATED = (406, "A call is sent to another upstream.")
    BUDGET_SPENT = (407, "A call was not repeated: no repeats are left.")
    CALL_RAN = (408, "An upstream ran a call; a sample of the good ones is logged.")
    REQUEST_REFUSED = (409, "A request was refused before it was placed anywhere.")
    CALL_ABANDONED = (410, "A gate ended a call whose caller had left.")
    MOVE_STEPPED = (500, "A move's share or state changed.")
    MOVE_BRAKED = (501, "This node sends the new version no more work.")
    MOVE_FINISHED = (502, "A move is done or reverted.")
    MOVE_SUPERSEDED = (503, "A step had no effect; the move was elsewhere already.")
    MOVE_ORDERED = (504, "An operator ordered a move.")
    LOOP_LATE = (903, "Timers fired late: the processor was busy or taken away.")
    LOG_DROPPED = (902, "Lines were left out: the log's reader is too slow.")
    TASK_FAILED = (900, "A task failed and was started again.")
    LIBRARY_WARNING = (901, "A library logged a warning.")

    @property
    def number(self) -> int:
        """The event's number, stable over versions."""
        return self.value[0]

    @property
    def meaning(self) -> str:
        """What the event means, one sentence."""
        return self.value[1]
