"""What the core's tasks ask of the world outside the process."""

from __future__ import annotations

from collections.abc import Iterable
from datetime import datetime
from typing import Protocol

import attrs

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
    """The platform did not answer; a write may or may not have taken effect."""


class NotCommittedError(PlatformError):
    """The platform did not answer, and a change is certainly not committed."""


class CommitUnknownError(PlatformError):
    """It is unknown whether a change is committed; its change id tells later."""


class Clock(Protocol):
    """Tells and waits for time."""

    def now(self) -> datetime:
        """Return the wall time, in UTC."""

    def monotonic_s(self) -> float:
        """Return a time in seconds that never jumps."""

    async def sleep(self, delay_s: float) -> None:
        """Wait for a while."""


@attrs.frozen
class Row:
    """A row of the table service with the version that a conditional write names."""

    value: bytes
    version: int


class Table(Protocol):
    """The platform's transactional table service."""

    async def read(self, name: str) -> Row | None:
        """Return a row, None where there is none.

        Raises:
            PlatformError: The service did not answer.
        """

    async def write(self, name: str, value: bytes, expected_version: int) -> bool:
        """Write a row if it still has the expected version (0: does not exist).

        Returns:
            Whether the write took effect.

        Raises:
            PlatformError: Nobody knows whether the write took effect.
        """


class Objects(Protocol):
    """The platform's object store."""

    async def get(self, name: str) -> bytes | None:
        """Return an object, None where there is none.

        Raises:
            PlatformError: The store did not answer.
        """

    async def put(self, name: str, body: bytes) -> None:
        """Store an object, over an earlier one of the same name.

        Raises:
            PlatformError: Nobody knows whether the object was stored.
        """


class HistoryLostError(PlatformError):
    """The store no longer has the changes since a version; read the table whole."""


@attrs.frozen
class StoredRow:
    """A row of a store with tables; ``version`` is 0 where it does not exist."""

    table: str
    key: str
    value: bytes
    version: int = 0
    deleted: bool = False


@attrs.frozen
class Changes:
    """Rows, and the version of the whole store that they are complete up to."""

    rows: tuple[StoredRow, ...]
    version: int


@attrs.frozen
class Conflict:
    """A conditional write was not done; the rows are what stands there instead."""

    rows: tuple[StoredRow, ...]


class Store(Protocol):
    """A store of rows in tables with conditional writes and change feeds."""

    async def read_table(self, table: str, first: str = "", end: str = "") -> Changes:
        """Return the rows of a table whose keys lie in a range.

        Raises:
            PlatformError: The store did not answer.
        """

    async def wait_for_changes(
        self, table: str, after_version: int, wait_s: float
    ) -> Changes:
        """Return what changed after a version, as soon as there is something.

        Raises:
            HistoryLostError: The store no longer has the changes.
            PlatformError: The store did not answer.
        """

    async def write(
        self, writes: Iterable[StoredRow], removes: Iterable[StoredRow] = ()
    ) -> Conflict | None:
        """Write or remove rows together, if each still has the version it names.

        Raises:
            PlatformError: Nobody knows whether it was done, or will be.
        """


class PeerError(Exception):
    """A peer did not answer, or refused; its message says which.

    Attributes:
        reached: Whether the peer itself refused, which shows that it is alive.
    """

    def __init__(self, message: str, reached: bool = False) -> None:
        super().__init__(message)
        self.reached = reached


class Peers(Protocol):
    """The other nodes; every call raises PeerError where there is no answer."""

    async def exchange(self, host: str, exchange: Exchange) -> Exchange:
        """Probe a host and exchange views."""

    async def probe_for(self, host: str, target: str) -> bool:
        """Ask a host to probe a third one."""

    async def notify(self, host: str, notify: Notify) -> int:
        """Tell a host of a revision; return the highest one it holds."""

    async def fetch(self, host: str, digests: tuple[str, ...]) -> Fetched:
        """Ask a host for bodies by digest."""

    async def witness(self, host: str, own_host: str, revision: int) -> FloorAnswer:
        """Tell a host which revision this one is about to serve; ask for the floor."""

    async def evidence(self, host: str, trial: str) -> EvidenceReport:
        """Ask a host what it saw of a trial of a move."""

    async def events(self, host: str, query: EventsQuery) -> EventsReport:
        """Ask a host for its newest events that a query asks for."""

    async def status(self, host: str) -> NodeStatus:
        """Ask a host which revision it serves."""
