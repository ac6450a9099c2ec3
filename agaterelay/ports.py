"""Interfaces through which the core's tasks access the clock, platform and peers."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from datetime import datetime
from typing import TYPE_CHECKING, Protocol

import attrs

if TYPE_CHECKING:
    # A deployed node uses few of these types, and does not import the others.
    from agaterelay.core.floors import FloorAnswer
    from agaterelay.core.messages import (
        EventsReport,
        EvidenceReport,
        Exchange,
        Fetched,
        NodeStatus,
        Notify,
    )
    from agaterelay.core.timeline import EventsQuery


class PlatformError(Exception):
    """The platform did not respond; a write may or may not have taken effect."""


class NotCommittedError(PlatformError):
    """The platform did not respond, and the change was not committed."""


class CommitUnknownError(PlatformError):
    """It is unknown whether a change was committed.

    Looking the change up later by its change id settles this.
    """


class Clock(Protocol):
    """A source of time."""

    def now(self) -> datetime:
        """Return the wall-clock time, in UTC."""

    def monotonic_s(self) -> float:
        """Return the monotonic time, in seconds."""

    async def sleep(self, delay_s: float) -> None:
        """Suspend the task for a delay in seconds."""


@attrs.frozen
class Row:
    """A row of the table service with its version for conditional writes."""

    value: bytes
    version: int


class Table(Protocol):
    """The platform's transactional table service."""

    async def read(self, name: str) -> Row | None:
        """Return a row, or None if it does not exist.

        Raises:
            PlatformError: The service did not respond.
        """

    async def write(self, name: str, value: bytes, expected_version: int) -> bool:
        """Write a row if it still has the expected version (0: it does not exist).

        Returns:
            Whether the write took effect.

        Raises:
            PlatformError: It is unknown whether the write took effect.
        """


class Objects(Protocol):
    """The platform's object store."""

    async def get(self, name: str) -> bytes | None:
        """Return an object, or None if it does not exist.

        Raises:
            PlatformError: The store did not respond.
        """

    async def put(self, name: str, body: bytes) -> None:
        """Store an object, replacing one of the same name.

        Raises:
            PlatformError: It is unknown whether the object was stored.
        """


class HistoryLostError(PlatformError):
    """The store no longer has the changes since a version; reread the whole table."""


class EraPassedError(PlatformError):
    """A response comes from before the store was restored; it says nothing any more."""


@attrs.frozen
class StoredRow:
    """A row in a table of a store; ``version`` is 0 if the row does not exist."""

    table: str
    key: str
    value: bytes
    version: int = 0
    deleted: bool = False


@attrs.frozen
class Changes:
    """Rows, complete up to a version of the whole store."""

    rows: tuple[StoredRow, ...]
    version: int


@attrs.frozen
class Conflict:
    """A rejected conditional write, with the current rows."""

    rows: tuple[StoredRow, ...]


class Store(Protocol):
    """A store of tables of rows with conditional writes and change feeds.

    Attributes:
        admit_era: Called with the era of each response, None if it names none, before
            the response is used; returns whether the response may be used. Otherwise
            the call raises ``EraPassedError``.
    """

    admit_era: Callable[[int | None], bool]

    async def read_table(self, table: str, first: str = "", end: str = "") -> Changes:
        """Return the rows of a table with keys from ``first`` to before ``end``.

        Raises:
            PlatformError: The store did not respond.
        """

    async def wait_for_changes(
        self, table: str, after_version: int, wait_s: float
    ) -> Changes:
        """Wait for changes of a table after a version and return them.

        Args:
            table: The name of the table.
            after_version: The version of the store up to which changes are known.
            wait_s: How long to wait for a change, in seconds.

        Returns:
            The changes; none if nothing changed in time.

        Raises:
            HistoryLostError: The store no longer has the changes.
            PlatformError: The store did not respond.
        """

    async def write(
        self, writes: Iterable[StoredRow], removes: Iterable[StoredRow] = ()
    ) -> Conflict | None:
        """Write and remove rows atomically if each still has its stated version.

        Returns:
            None if the transaction was applied, otherwise the conflict.

        Raises:
            PlatformError: It is unknown whether the transaction was or will be applied.
        """


class PeerError(Exception):
    """A call to a peer failed.

    Attributes:
        reached: Whether the peer itself returned the error, so it is alive.
    """

    def __init__(self, message: str, reached: bool = False) -> None:
        super().__init__(message)
        self.reached = reached


class Peers(Protocol):
    """The other nodes; every method raises PeerError if the call fails."""

    async def exchange(self, host: str, exchange: Exchange) -> Exchange:
        """Probe a host and exchange membership views."""

    async def probe_for(self, host: str, target: str) -> bool:
        """Ask a host to probe another one; return whether it was reached."""

    async def notify(self, host: str, notify: Notify) -> int:
        """Notify a host of a revision; return the highest revision that it holds."""

    async def fetch(self, host: str, digests: tuple[str, ...]) -> Fetched:
        """Request bodies by digest."""

    async def witness(self, host: str, own_host: str, revision: int) -> FloorAnswer:
        """Report the revision that this host is about to serve; return the floor."""

    async def evidence(self, host: str, trial: str) -> EvidenceReport:
        """Request a host's evidence on a trial of a move."""

    async def events(self, host: str, query: EventsQuery) -> EventsReport:
        """Request a host's newest events that match a query."""

    async def status(self, host: str) -> NodeStatus:
        """Request a host's status."""
