"""The line of revisions on one node: which revision it holds, and which it serves.

A node takes only higher revisions. A revision is staged first, and activated once
another host remembers that this one is about to serve it. A node that has just started
does not know what its predecessor on the same host served; it activates nothing before
it knows a floor.
"""

from __future__ import annotations

import attrs

from agaterelay.core.model import Snapshot


@attrs.frozen
class Line:
    """The revisions of one node.

    ``floor`` is the lowest revision that may be activated, None while it is unknown.
    ``witnessed`` is the highest revision that may be activated: a peer has
    acknowledged it, or no peer could be reached at all.
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


def stage(line: Line, snapshot: Snapshot) -> Line:
    """Return the line with the snapshot staged, unchanged where it is not newer."""
    if snapshot.revision <= line.held_revision:
        return line
    return attrs.evolve(line, staged=snapshot)


def raise_floor(line: Line, revision: int) -> Line:
    """Return the line with a floor of at least the given revision."""
    return attrs.evolve(line, floor=max(revision, line.floor or 0))


def acknowledge(line: Line, revision: int) -> Line:
    """Return the line where peers remember that this host may serve the revision."""
    return attrs.evolve(line, witnessed=max(revision, line.witnessed))


def needs_witness(line: Line) -> bool:
    """Return whether nothing but a witness keeps the staged revision back."""
    if line.staged is None or line.floor is None:
        return False
    lowest = max(line.floor, line.active_revision + 1)
    return line.staged.revision >= max(lowest, line.witnessed + 1)


def may_activate(line: Line) -> bool:
    """Return whether the staged revision is newer, not too old, and witnessed."""
    if line.staged is None or line.floor is None:
        return False
    lowest = max(line.floor, line.active_revision + 1)
    return lowest <= line.staged.revision <= line.witnessed


def activate(line: Line) -> Line:
    """Return the line with the staged snapshot active, where that is allowed."""
    if not may_activate(line):
        return line
    return attrs.evolve(line, active=line.staged, staged=None)
