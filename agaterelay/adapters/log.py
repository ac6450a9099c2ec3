"""Record numbered events: into the process's timeline and as structured logs."""

from __future__ import annotations

import logging
import sys
from collections.abc import Callable
from typing import Any

import structlog

from agaterelay.core.timeline import Timeline, record
from agaterelay.events import EventKind

Recorder = Callable[..., None]


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
    """Return a function that records an event with its fields."""
    logger = structlog.get_logger()

    def record_event(kind: EventKind, **fields: Any) -> None:
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
