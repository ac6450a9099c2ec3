"""What a caller needs to route calls by itself: routes, moves, hosts, upstreams.

A node hands its own view to the caller library, which then chooses the upstream in
the caller's process and sends each call straight to the node that owns it.
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
    """One node's view; ``braked`` are the moves whose new version it sends no work."""

    own: Member
    manifest: Manifest
    digest: str
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    members: tuple[Member, ...]
    braked: tuple[str, ...] = ()


def view_of(
    snapshot: Snapshot, own: Member, members: Members, braked: Iterable[str]
) -> RouteView:
    """Return the view of a node, without what routing has no use for."""
    return RouteView(
        own=attrs.evolve(own, upstreams=()),
        manifest=attrs.evolve(snapshot.manifest, sections=(), changes=()),
        digest=snapshot.digest,
        routes=snapshot.routes,
        services=tuple(snapshot.services.values()),
        members=tuple(item for item in members.values() if item.upstreams),
        braked=tuple(braked),
    )


def snapshot_of(view: RouteView) -> Snapshot:
    """Return the snapshot that routes calls as the view's node does."""
    return Snapshot(
        manifest=view.manifest,
        digest=view.digest,
        services={item.name: item for item in view.services},
        routes=view.routes,
        progress={item.name: item for item in view.manifest.moves},
    )


def plain_view(view: RouteView) -> Any:
    """Return a view as plain lists, mappings, texts and numbers for JSON."""
    return _converter.unstructure(view)


def parse_view(plain: Any) -> RouteView | None:
    """Return the view of plain values, None where they are none."""
    try:
        return _converter.structure(plain, RouteView)
    except (BaseValidationError, ValueError, TypeError, KeyError):
        return None
