"""Record numbered events: into the process's timeline and as structured logs."""

from __future__ import annotations

import logging
import sys
from collections.abc import Callable
from typing import Any

import structlog

from agaterelay.core.timeline import RateLimit, Timeline, record, take_place
from agaterelay.events import EventKind

Recorder = Callable[..., None]

MAX_MESSAGE_LENGTH = 300
# A call may take several tries, each of which explains a part of how it ended.
EVENTS_PER_S = {
    EventKind.CALL_NOT_RUN: 20,
    EventKind.CALL_UNKNOWN: 20,
    EventKind.CALL_FAILED: 20,
    EventKind.CALL_TRY_ENDED: 60,
    EventKind.LIBRARY_WARNING: 20,
}


def configure_log() -> None:
    """Write logs as JSON lines to standard error."""
    structlog.configure(
        processors=[
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.JSONRenderer(sort_keys=True),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
    )


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
            suppressed = take_place(limits[kind], now_s, EVENTS_PER_S[kind])
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
