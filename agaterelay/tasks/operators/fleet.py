"""Endpoints for the fleet: this node, its members, all nodes' status, the metrics."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

import attrs
from aiohttp import web

from agaterelay.core.membership import Member, MemberState
from agaterelay.core.messages import NodeStatus
from agaterelay.ports import PeerError
from agaterelay.tasks.board import Board
from agaterelay.tasks.operators.requests import Operators

MAX_CONCURRENT_QUERIES = 32


def own_status(board: Board) -> NodeStatus:
    """Return the status of this node."""
    return NodeStatus(
        host=board.own.host,
        zone=board.own.zone,
        active_revision=board.active.revision if board.active else 0,
        held_revision=board.held.revision,
        platform_up=board.platform_up,
        stopping=board.stopping,
        activated_ms=board.activated_ms,
        known_revision=board.known_revision,
    )


async def query_hosts(
    hosts: Iterable[str], query: Callable[[str], Awaitable[Any]]
) -> dict[str, Any]:
    """Query many hosts, at most ``MAX_CONCURRENT_QUERIES`` at a time.

    Returns:
        The responses by host; None for a host that did not respond.
    """
    permits = asyncio.Semaphore(MAX_CONCURRENT_QUERIES)

    async def query_one(host: str) -> Any:
        async with permits:
            try:
                return await query(host)
            except PeerError:
                return None

    hosts = list(hosts)
    answers = await asyncio.gather(*(query_one(host) for host in hosts))
    return dict(zip(hosts, answers, strict=True))


def other_hosts(board: Board) -> list[str]:
    """Return all usable hosts except this one, sorted."""
    return sorted(
        member.host
        for member in board.members.values()
        if member.usable and member.host != board.own.host
    )


async def show_node(operators: Operators, _: web.Request) -> web.Response:
    """Return the status of this node."""
    return web.json_response(attrs.asdict(own_status(operators.board)))


async def show_members(operators: Operators, _: web.Request) -> web.Response:
    """Return this node's view of the membership."""
    members = [
        {**attrs.asdict(member), "state": member.state.name.lower()}
        for member in operators.board.members.values()
    ]
    out_of_reach = sorted(operators.board.out_of_reach)
    return web.json_response({"members": members, "out_of_reach": out_of_reach})


async def show_status(operators: Operators, _: web.Request) -> web.Response:
    """Return the status of all nodes, and the hosts that did not respond.

    A host that gossip declared dead is ``lost``; one that is listed as usable but does
    not respond to this node is ``unreachable``.
    """
    board = operators.board
    answers = await query_hosts(other_hosts(board), operators.node_context.peers.status)
    answers[board.own.host] = own_status(board)
    nodes = [
        {**attrs.asdict(answer), "operators_address": _operators_address(board, host)}
        for host, answer in sorted(answers.items())
        if answer is not None
    ]
    lost = [
        member for member in board.members.values() if member.state is MemberState.DEAD
    ]
    unreachable = sorted(host for host, answer in answers.items() if answer is None)
    return web.json_response(
        {
            "nodes": nodes,
            "unreachable": unreachable,
            "lost": sorted(member.host for member in lost),
            "zones": {member.host: member.zone for member in board.members.values()},
            "upstreams": _upstreams(board.members.values()),
        }
    )


def _operators_address(board: Board, host: str) -> str:
    member = board.members.get(host)
    return member.operators_address if member else board.own.operators_address


def _upstreams(members: Iterable[Member]) -> list[dict[str, Any]]:
    return [
        {**attrs.asdict(item), "host": member.host, "zone": member.zone}
        for member in sorted(members, key=lambda member: member.host)
        if member.usable
        for item in member.upstreams
    ]


async def show_metrics(operators: Operators, _: web.Request) -> web.Response:
    """Return the metrics in Prometheus' text format."""
    body, content_type = operators.metrics.render()
    return web.Response(body=body, headers={"Content-Type": content_type})
