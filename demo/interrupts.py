"""End a demo on SIGINT and SIGTERM without leaving a process running."""

from __future__ import annotations

import signal
from types import FrameType

SIGINT_STATUS = 130
SIGTERM_STATUS = 143
RETRY_S = 0.05
_PROCESS_START_FUNCTION = "_execute_child"
_STATUSES = {signal.SIGINT: SIGINT_STATUS, signal.SIGTERM: SIGTERM_STATUS}


class Interrupted(BaseException):
    """The demo received a signal to stop; ``status`` is its exit status."""

    def __init__(self, status: int) -> None:
        super().__init__(status)
        self.status = status


def install_interrupts() -> None:
    """Raise Interrupted on SIGINT and SIGTERM, even in a shell's background job.

    A signal that arrives while a process is being started is handled RETRY_S later: the
    new process would not be in the list of processes to stop otherwise.
    """
    pending: list[int] = []

    def interrupt(number: int, frame: FrameType | None) -> None:
        if number != signal.SIGALRM:
            pending.append(_STATUSES[signal.Signals(number)])
        if _is_starting(frame):
            signal.setitimer(signal.ITIMER_REAL, RETRY_S)
            return
        raise Interrupted(pending[0])

    for number in (*_STATUSES, signal.SIGALRM):
        signal.signal(number, interrupt)


def _is_starting(frame: FrameType | None) -> bool:
    while frame is not None:
        if frame.f_code.co_name == _PROCESS_START_FUNCTION:
            return True
        frame = frame.f_back
    return False
