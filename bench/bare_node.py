"""A node without its control plane: the same call path over a fixed configuration.

It loads a document from a file once and gets its only upstream from its arguments. It
runs no gossip, no reader, no keeper, no moves and no gRPC. The resources that a full
node uses beyond those of this one are the cost of the control plane.
"""

from __future__ import annotations

import argparse
import asyncio
from datetime import UTC, datetime
from pathlib import Path

from agaterelay.adapters.clock import SystemClock
from agaterelay.adapters.http import open_session
from agaterelay.adapters.log import configure_log, make_recorder
from agaterelay.adapters.metrics import Metrics
from agaterelay.adapters.settings import load_settings
from agaterelay.core.keys import KeyWindow
from agaterelay.core.membership import Member, UpstreamInfo
from agaterelay.core.model import Manifest
from agaterelay.core.parse import parse_document
from agaterelay.core.snapshot import assemble
from agaterelay.core.timeline import Timeline
from agaterelay.tasks.board import Board, NodeContext
from agaterelay.tasks.calls import start_calls_server
from agaterelay.tasks.inbound import Inbound
from agaterelay.tasks.observe import collect_readings, make_observer
from agaterelay.tasks.outbound import Outbound
from agaterelay.tasks.upstreams import Upstreams, apply_announcement


async def run(settings_path: Path, document_path: Path, upstream: UpstreamInfo) -> None:
    """Serve calls until the process is killed."""
    settings, _ = load_settings(settings_path)
    clock = SystemClock()
    timeline = Timeline(settings.peers_address, clock.now)
    context = NodeContext(
        settings=settings,
        clock=clock,
        table=None,
        objects=None,
        peers=None,
        timeline=timeline,
        record=make_recorder(timeline),
    )
    member = Member(
        host=settings.peers_address,
        zone=settings.zone,
        incarnation=1,
        sequence=1,
        calls_address=settings.calls_address,
        upstreams=(upstream,),
    )
    sections, _ = parse_document(document_path.read_text(), str(document_path))
    manifest = Manifest(1, datetime(2026, 1, 1, tzinfo=UTC))
    snapshot, findings = assemble(manifest, "", sections)
    if snapshot is None:
        raise SystemExit("\n".join(map(str, findings)))
    board = Board(member, members={member.host: member}, active=snapshot)
    session = open_session()
    upstreams = Upstreams(context, publish=lambda _: None)
    apply_announcement(upstreams, upstream)
    inbound = Inbound(context, board, KeyWindow(1), session, upstreams.slots)
    outbound = Outbound(context.clock, board, inbound, session)
    metrics = Metrics(lambda: collect_readings(board, inbound))
    observe = make_observer(context, board, metrics)
    await start_calls_server(outbound, settings.calls_address, observe)
    print("ready", flush=True)
    await asyncio.Event().wait()


def main() -> None:
    """Run the node that the arguments describe."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--settings", type=Path, required=True)
    parser.add_argument("--document", type=Path, required=True)
    parser.add_argument("--upstream", required=True)
    parser.add_argument("--service", required=True)
    arguments = parser.parse_args()
    configure_log()
    upstream = UpstreamInfo(arguments.service, "v1", arguments.upstream, slots=64)
    asyncio.run(run(arguments.settings, arguments.document, upstream))


if __name__ == "__main__":
    main()
