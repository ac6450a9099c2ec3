"""Record numbered events: into the process's timeline and as structured logs."""

from __future__ import annotations

import io
import json
import logging
import os
import sys
from collections.abc import Callable
from typing import Any, TextIO

import structlog

from agaterelay.core.timeline import RateLimit, Timeline, admit_event, record
from agaterelay.events import EventKind

Recorder = Callable[..., None]

MAX_MESSAGE_LENGTH = 300
# A call may take several tries, each of which explains a part of how it ended.
EVENTS_PER_S = {
    EventKind.CALL_NOT_RUN: 20,
    EventKind.CALL_UNKNOWN: 20,
    EventKind.CALL_FAILED: 20,
    EventKind.CALL_TRY_ENDED: 60,
    EventKind.CALL_CANCELLED: 20,
    EventKind.CALL_REPEATED: 20,
    EventKind.BUDGET_SPENT: 10,
    EventKind.CALL_ENDED: 20,
    EventKind.CALL_ABANDONED: 20,
    EventKind.CALL_RAN: 10,
    EventKind.REQUEST_REFUSED: 20,
    EventKind.LIBRARY_WARNING: 20,
    EventKind.LOOP_LATE: 5,
}


def configure_log(stream: TextIO | None = None) -> None:
    """Write logs as JSON lines to a stream, standard error if none is given."""
    structlog.configure(
        processors=[
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.JSONRenderer(sort_keys=True),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=structlog.PrintLoggerFactory(stream or sys.stderr),
    )


class LineSink(io.TextIOBase):
    """Writes whole lines to a descriptor and never waits for its reader.

    Lines that the reader has no room for are left out; the next one that is written
    says how many.
    """

    def __init__(self, descriptor: int) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._rest = b""
        self.dropped = 0

    def write(self, text: str) -> int:
        """Write a line, or count that it was left out."""
        line = text.encode()
        if not line.strip():
            return len(text)
        if not line.endswith(b"\n"):
            line += b"\n"
        if self.dropped and not self._rest:
            kind = EventKind.LOG_DROPPED
            note = {"event": kind.name.lower(), "number": kind.number}
            note["lines"] = self.dropped
            line = json.dumps(note).encode() + b"\n" + line
        if self._rest and not self._push(b""):
            self.dropped += 1
            return len(text)
        if self._push(line):
            self.dropped = 0
        return len(text)

    def _push(self, line: bytes) -> bool:
        """Write what is left and a line; return whether all before it is out."""
        data = self._rest + line
        try:
            written = os.write(self._descriptor, data)
        except BlockingIOError:
            if line and not self._rest:
                self.dropped += 1
            return False
        except OSError:
            # Nobody reads any more; a node serves without its log.
            self.dropped += 1
            return False
        self._rest = data[written:]
        return not self._rest or bool(line)

    def flush(self) -> None:
        """Do nothing: every line is written at once or not at all."""


def make_recorder(timeline: Timeline) -> Recorder:
    """Return a function that records an event with its fields.

    Events of single calls are limited to some a second, so that they cannot push
    everything else out of the ring; the next one says how many were left out.
    """
    logger = structlog.get_logger()
    limits = {kind: RateLimit() for kind in EVENTS_PER_S}

    def record_event(kind: EventKind, **fields: Any) -> None:
        if kind in limits:
            now_s = timeline.now().timestamp()
            suppressed = admit_event(limits[kind], now_s, EVENTS_PER_S[kind])
            if suppressed is None:
                return
            if suppressed:
                fields["suppressed"] = suppressed
        for name, value in fields.items():
            if isinstance(value, str) and len(value) > MAX_MESSAGE_LENGTH:
                fields[name] = value[:MAX_MESSAGE_LENGTH]
        event = record(timeline, kind.number, kind.name.lower(), fields)
        logger.info(
            event.name,
            number=event.number,
            host=event.host,
            wall_us=event.stamp.wall_us,
            counter=event.stamp.counter,
            **fields,
        )

    return record_event


class LibraryHandler(logging.Handler):
    """Turns the libraries' warnings into numbered events, without their tracebacks."""

    def __init__(self, record_event: Recorder) -> None:
        super().__init__(logging.WARNING)
        self._record_event = record_event

    def emit(self, record: logging.LogRecord) -> None:
        """Record one warning."""
        try:
            message = record.getMessage()
        except (TypeError, ValueError):
            message = str(record.msg)
        error = record.exc_info[1] if record.exc_info else None
        self._record_event(
            EventKind.LIBRARY_WARNING,
            library=record.name,
            message=message[:MAX_MESSAGE_LENGTH],
            error=f"{type(error).__name__}: {error}"[:MAX_MESSAGE_LENGTH]
            if error
            else "",
        )


def record_library_warnings(record_event: Recorder) -> None:
    """Send what libraries log as warnings or worse to the process's events."""
    logging.getLogger().handlers = [LibraryHandler(record_event)]
