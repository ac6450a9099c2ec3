"""The line of revisions on one node: which revision it holds, and which it serves.

A node takes only higher revisions. A revision is staged first, and activated when
the node may serve it. A node that has just started does not know what its predecessor
on the same host served; it waits for a floor before it activates anything.
"""

from __future__ import annotations

import attrs

from agaterelay.core.model import Snapshot


@attrs.frozen
class Line:
    """The revisions of one node.

    ``floor`` is the lowest revision that may be activated, None while it is unknown.
    """

    active: Snapshot | None = None
    staged: Snapshot | None = None
    floor: int | None = None

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


def activate(line: Line) -> Line:
    """Return the line with the staged snapshot active, where that is allowed."""
    if line.staged is None or line.floor is None:
        return line
    if line.staged.revision < line.floor:
        return line
    if line.staged.revision <= line.active_revision:
        return attrs.evolve(line, staged=None)
    return attrs.evolve(line, active=line.staged, staged=None)
