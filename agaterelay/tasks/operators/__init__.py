"""The operators' HTTP server, with one module for each group of endpoints."""

from agaterelay.tasks.operators.events import own_events
from agaterelay.tasks.operators.fleet import own_status
from agaterelay.tasks.operators.requests import Operators
from agaterelay.tasks.operators.server import start_operators_server

__all__ = ["Operators", "own_events", "own_status", "start_operators_server"]
