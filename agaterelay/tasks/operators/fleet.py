"""Endpoints on the fleet: this node, all nodes, the time line, the metrics."""

from __future__ import annotations

import asyncio
import json

import attrs
from aiohttp import web

from agaterelay.core.messages import EventsReport, NodeStatus
from agaterelay.core.timeline import Event, Stamp, merge_events
from agaterelay.tasks.board import Board, World
from agaterelay.tasks.operators.requests import Operators

MAX_EVENTS = 2000


def own_status(board: Board) -> NodeStatus:
    """Return what this node says of itself."""
    return NodeStatus(
        host=board.own.host,
        zone=board.own.zone,
        active_revision=board.active.revision if board.active else 0,
        held_revision=board.held.revision,
        platform_up=board.platform_up,
        stopping=board.stopping,
        activated_ms=board.activated_ms,
    )


def own_events(world: World, after: Stamp, most: int) -> EventsReport:
    """Return this node's newest events after a stamp."""
    events = [event for event in world.timeline.ring if event.stamp > after]
    return EventsReport(tuple(events[-min(most, MAX_EVENTS) :]))


async def show_node(operators: Operators, _: web.Request) -> web.Response:
    """Return what this node says of itself."""
    return web.json_response(attrs.asdict(own_status(operators.board)))


async def show_members(operators: Operators, _: web.Request) -> web.Response:
    """Answer with this node's view of the fleet."""
    members = [
        {**attrs.asdict(member), "state": member.state.name.lower()}
        for member in operators.board.members.values()
    ]
    out_of_reach = sorted(operators.board.out_of_reach)
    return web.json_response({"members": members, "out_of_reach": out_of_reach})


async def show_status(operators: Operators, _: web.Request) -> web.Response:
    """Return what every reachable node says of itself."""
    board = operators.board
    members = [member for member in board.members.values() if member.usable]
    answers = await asyncio.gather(
        *(
            operators.world.peers.status(member.host)
            for member in members
            if member.host != board.own.host
        ),
        return_exceptions=True,
    )
    others = [member.host for member in members if member.host != board.own.host]
    nodes = [attrs.asdict(own_status(board))]
    unreachable = []
    for host, answer in zip(others, answers, strict=True):
        if isinstance(answer, NodeStatus):
            nodes.append(attrs.asdict(answer))
        else:
            unreachable.append(host)
    nodes.sort(key=lambda node: node["host"])
    upstreams = [
        {**attrs.asdict(item), "host": member.host, "zone": member.zone}
        for member in members
        for item in member.upstreams
    ]
    return web.json_response(
        {"nodes": nodes, "unreachable": unreachable, "upstreams": upstreams}
    )


async def show_timeline(operators: Operators, request: web.Request) -> web.Response:
    """Return the events of all reachable nodes in causal order."""
    hosts = [
        member.host
        for member in operators.board.members.values()
        if member.usable and member.host != operators.board.own.host
    ]
    reports = await asyncio.gather(
        *(operators.world.peers.events(host, Stamp(), MAX_EVENTS) for host in hosts),
        return_exceptions=True,
    )
    events: list[Event] = list(own_events(operators.world, Stamp(), MAX_EVENTS).events)
    for report in reports:
        if isinstance(report, EventsReport):
            events.extend(report.events)
    merged = merge_events(events)[-MAX_EVENTS:]
    return web.json_response(
        {"events": [attrs.asdict(event) for event in merged]},
        dumps=lambda value: json.dumps(value, default=str),
    )


async def show_metrics(operators: Operators, _: web.Request) -> web.Response:
    """Return the metrics in Prometheus' text format."""
    body, content_type = operators.metrics.render()
    return web.Response(body=body, headers={"Content-Type": content_type})
