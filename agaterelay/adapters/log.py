"""Recording of numbered events in the process's timeline and as structured logs."""

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
# Rate limits of events that single calls cause. A call may need several attempts, each of
# which is logged to explain its outcome, so CALL_TRY_ENDED has a higher limit.
MAX_EVENTS_PER_S = {
    EventKind.UPSTREAM_LIMITED: 2,
    EventKind.UPSTREAM_HEADER_INVALID: 2,
    EventKind.CALL_NOT_RUN: 20,
    EventKind.SLOW_READER_CLOSED: 10,
    EventKind.RESPONSE_WITHOUT_ROOM: 10,
    EventKind.CONNECTION_CLOSED: 5,
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
    EventKind.SPILL_STARTED: 5,
    EventKind.SPILL_ENDED: 5,
    EventKind.LIBRARY_WARNING: 20,
    EventKind.LOOP_LATE: 5,
    EventKind.STEP_FAILED: 20,
    EventKind.TASK_FAILED: 20,
}


def configure_log(stream: TextIO | None = None) -> None:
    """Write logs as JSON lines to a stream, by default to standard error."""
    structlog.configure(
        processors=[
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.JSONRenderer(sort_keys=True),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=structlog.PrintLoggerFactory(stream or sys.stderr),
    )


class LineSink(io.TextIOBase):
    """Writes complete lines to a non-blocking file descriptor.

    Lines are dropped while the reader is too slow; a LOG_DROPPED event with their number
    precedes the next line that is written.
    """

    def __init__(self, descriptor: int) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._unwritten = b""
        self.dropped = 0

    def write(self, text: str) -> int:
        """Write a line, or drop and count it if the reader is too slow."""
        line = text.encode()
        if not line.strip():
            return len(text)
        if not line.endswith(b"\n"):
            line += b"\n"
        if self.dropped and not self._unwritten:
            kind = EventKind.LOG_DROPPED
            dropped_event = {"event": kind.name.lower(), "number": kind.number}
            dropped_event["lines"] = self.dropped
            line = json.dumps(dropped_event).encode() + b"\n" + line
        if self._unwritten and not self._write_available(b""):
            self.dropped += 1
            return len(text)
        if self._write_available(line):
            self.dropped = 0
        return len(text)

    def _write_available(self, line: bytes) -> bool:
        """Write the unwritten bytes and a line without blocking.

        Returns:
            Whether the line was accepted or, for an empty line, nothing is left to write.
        """
        data = self._unwritten + line
        try:
            written = os.write(self._descriptor, data)
        except BlockingIOError:
            if line and not self._unwritten:
                self.dropped += 1
            return False
        except OSError:
            # The reader is gone, which must not stop the node from serving.
            self.dropped += 1
            return False
        self._unwritten = data[written:]
        return not self._unwritten or bool(line)

    def flush(self) -> None:
        """Do nothing; ``write`` writes or drops each line at once."""


def make_recorder(timeline: Timeline) -> Recorder:
    """Return a function that records an event with its fields.

    Events of single calls are rate-limited, so that they do not displace all others from
    the timeline's ring buffer. The ``suppressed`` field of the next event of that kind
    holds the number of omitted ones.
    """
    logger = structlog.get_logger()
    limits = {kind: RateLimit() for kind in MAX_EVENTS_PER_S}

    def record_event(kind: EventKind, **fields: Any) -> None:
        if kind in limits:
            now_s = timeline.now().timestamp()
            suppressed = admit_event(limits[kind], now_s, MAX_EVENTS_PER_S[kind])
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
    """Records warnings of libraries as numbered events, without tracebacks."""

    def __init__(self, record_event: Recorder) -> None:
        super().__init__(logging.WARNING)
        self._record_event = record_event

    def emit(self, record: logging.LogRecord) -> None:
        """Record a warning as a LIBRARY_WARNING event."""
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
    """Record what libraries log at level WARNING or above as events."""
    logging.getLogger().handlers = [LibraryHandler(record_event)]
