"""Fakes for membership: peers that answer probes, and the context of a node."""

import attrs

from agaterelay.core.timeline import Timeline
from agaterelay.ports import PeerError
from agaterelay.tasks.board import NodeContext
from tests.tasks.fakes import FakePlatform, ManualClock, make_settings

ZONES = ("bangkok-1", "bangkok-2", "bangkok-3", "bangkok-4")


@attrs.define
class ProbedPeers:
    """Peers that answer probes by a function for each host; others do not answer."""

    answers: dict = attrs.field(factory=dict)
    asked: list = attrs.field(factory=list)

    async def exchange(self, host, exchange):
        self.asked.append(host)
        if host not in self.answers:
            raise PeerError("no answer")
        return self.answers[host](exchange)


def make_context(host, table=None, peers=None):
    """Return the context of a node in the first zone."""
    clock = ManualClock()
    return NodeContext(
        settings=attrs.evolve(make_settings(host, ZONES[0]), zones=ZONES),
        clock=clock,
        table=table or FakePlatform(),
        objects=None,
        peers=peers or ProbedPeers(),
        timeline=Timeline(host, clock.now),
        record=lambda kind, **fields: None,
    )
