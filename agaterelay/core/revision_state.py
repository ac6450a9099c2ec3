"""The revision state of one node: which revision it holds, and which it serves.

A node accepts only higher revisions. A revision is staged first, and activated once
another host has recorded that this one is about to serve it. A node that has just started
does not know which revision its predecessor on the same host served; it activates nothing
before it knows a floor.
"""

from __future__ import annotations

import attrs

from agaterelay.core.model import Snapshot


@attrs.frozen
class RevisionState:
    """The revisions of one node.

    ``floor`` is the lowest revision that may be activated, None while it is unknown.
    ``witnessed`` is the highest revision that may be activated: a peer has acknowledged
    it, or no peer could be reached.
    """

    active: Snapshot | None = None
    staged: Snapshot | None = None
    floor: int | None = None
    witnessed: int = 0

    @property
    def active_revision(self) -> int:
        """The revision that is served, 0 for none."""
        return self.active.revision if self.active else 0

    @property
    def held_revision(self) -> int:
        """The highest complete revision in memory, 0 for none."""
        return max(self.active_revision, self.staged.revision if self.staged else 0)


def stage(state: RevisionState, snapshot: Snapshot) -> RevisionState:
    """Return the state with the snapshot staged, unchanged if it is not newer."""
    if snapshot.revision <= state.held_revision:
        return state
    return attrs.evolve(state, staged=snapshot)


def raise_floor(state: RevisionState, revision: int) -> RevisionState:
    """Return the state with a floor of at least the given revision."""
    return attrs.evolve(state, floor=max(revision, state.floor or 0))


def acknowledge(state: RevisionState, revision: int) -> RevisionState:
    """Return the state after peers acknowledged that this host may serve a revision."""
    return attrs.evolve(state, witnessed=max(revision, state.witnessed))


def needs_witness(state: RevisionState) -> bool:
    """Return whether the staged revision lacks only a witness to be activated."""
    if state.staged is None or state.floor is None:
        return False
    lowest = max(state.floor, state.active_revision + 1)
    return state.staged.revision >= max(lowest, state.witnessed + 1)


def may_activate(state: RevisionState) -> bool:
    """Return whether the staged revision is newer, not too old, and witnessed."""
    if state.staged is None or state.floor is None:
        return False
    lowest = max(state.floor, state.active_revision + 1)
    return lowest <= state.staged.revision <= state.witnessed


def activate(state: RevisionState) -> RevisionState:
    """Return the state with the staged snapshot active, if that is allowed."""
    if not may_activate(state):
        return state
    return attrs.evolve(state, active=state.staged, staged=None)
