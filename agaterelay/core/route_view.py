"""The data for client-side routing: routes, moves, hosts, upstreams.

A node sends its view to the caller library, which then chooses the upstream in the
caller's process and sends each call directly to the node of that upstream.
"""

from __future__ import annotations

from collections.abc import Iterable
from datetime import datetime
from typing import Any

import attrs
from cattrs import BaseValidationError, Converter

from agaterelay.core.membership import Member, Members
from agaterelay.core.model import Manifest, Route, Service, Snapshot

_converter = Converter()
_converter.register_unstructure_hook(datetime, lambda time: time.isoformat())
_converter.register_structure_hook(
    datetime, lambda text, _: datetime.fromisoformat(text)
)


@attrs.frozen
class RouteView:
    """One node's view; ``braked`` are the moves whose new version it sends no calls."""

    own: Member
    manifest: Manifest
    digest: str
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    members: tuple[Member, ...]
    braked: tuple[str, ...] = ()


def make_route_view(
    snapshot: Snapshot, own: Member, members: Members, braked: Iterable[str]
) -> RouteView:
    """Return the view of a node, reduced to the data that routing uses."""
    return RouteView(
        own=attrs.evolve(own, upstreams=()),
        manifest=attrs.evolve(snapshot.manifest, sections=(), changes=()),
        digest=snapshot.digest,
        routes=snapshot.routes,
        services=tuple(snapshot.services.values()),
        members=tuple(item for item in members.values() if item.upstreams),
        braked=tuple(braked),
    )


def make_snapshot(view: RouteView) -> Snapshot:
    """Return a snapshot that routes calls as the node of the view does."""
    return Snapshot(
        manifest=view.manifest,
        digest=view.digest,
        services={item.name: item for item in view.services},
        routes=view.routes,
        progress={item.name: item for item in view.manifest.moves},
    )


def encode_view(view: RouteView) -> Any:
    """Return a view as lists, mappings, strings and numbers for JSON."""
    return _converter.unstructure(view)


def parse_view(plain: Any) -> RouteView | None:
    """Return the view that JSON values encode, None if they are invalid."""
    try:
        return _converter.structure(plain, RouteView)
    except (BaseValidationError, ValueError, TypeError, KeyError):
        return None
