"""Keep the error of one step from ending the steps after it.

The error is recorded, and the node continues with the next step. This is for errors that
no step expects: an expected one is handled where it occurs.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from agaterelay.events import EventKind
from agaterelay.mesh.state import NodeContext

RESTART_DELAY_S = 0.2


def run_step(context: NodeContext, name: str, step: Callable[[], object]) -> None:
    """Run a step; record its error."""
    try:
        step()
    except Exception as error:
        record_failed_step(context, name, error)


async def await_step(
    context: NodeContext, name: str, start: Callable[[], Awaitable[object]]
) -> None:
    """Run a step that waits; record its error."""
    try:
        await start()
    except Exception as error:
        record_failed_step(context, name, error)


def record_failed_step(context: NodeContext, name: str, error: Exception) -> None:
    """Record that a step failed, and that the node continues after it."""
    context.record(EventKind.STEP_FAILED, step=name, error=_describe(error))


async def supervise(
    context: NodeContext, name: str, start: Callable[[], Coroutine[Any, Any, None]]
) -> None:
    """Run a task; record it when it fails, and restart it after a delay."""
    while True:
        try:
            await start()
        except Exception as error:
            context.record(EventKind.TASK_FAILED, task=name, error=_describe(error))
        await context.clock.sleep(RESTART_DELAY_S)


def _describe(error: Exception) -> str:
    return f"{type(error).__name__}: {error}"
