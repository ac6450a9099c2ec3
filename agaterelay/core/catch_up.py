"""Choose the source of a newer configuration that other nodes have announced.

This serves a fleet in which some nodes can't read the store while others can. Documents
are large and traffic between availability zones is expensive, so a node asks its own
zone at once and another zone only after a short delay. The delay runs from the first
notice of a newer revision; messages of neighbours that are equally behind don't extend
it.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable
from typing import Generic, TypeVar

import attrs

# How long a node that is behind waits for its own zone before it asks another one.
OTHER_ZONE_DELAY_S = 0.4
# A source that sent nothing within this time is skipped for another one. During frequent
# changes this also bounds how many documents a node receives per second.
NEXT_REQUEST_DELAY_S = 0.3

Source = TypeVar("Source", bound=Hashable)


@attrs.define
class CatchUp(Generic[Source]):
    """What a node knows of revisions that are newer than its own.

    ``newer_revisions`` has the newest revision of each source, ``seen`` is the newest of
    all, first observed at ``seen_s``. ``behind_s`` is the time since which the node has
    made no progress towards it, ``asked`` are the sources asked in vain since, the last
    one at ``asked_s``. Times are in seconds on the monotonic clock.
    """

    newer_revisions: dict[Source, int] = attrs.field(factory=dict)
    seen: int = 0
    seen_s: float = 0.0
    behind_s: float | None = None
    asked: dict[Source, None] = attrs.field(factory=dict)
    asked_s: float = float("-inf")


def observe_revision(
    catch_up: CatchUp[Source], source: Source, revision: int, held: int, now_s: float
) -> bool:
    """Record the revision that a source holds.

    Args:
        catch_up: Changed in place.
        source: The node that announced the revision.
        revision: The revision.
        held: The revision that this node holds.
        now_s: The current time in seconds.

    Returns:
        Whether the revision is newer than all observed before.
    """
    if revision <= held:
        catch_up.newer_revisions.pop(source, None)
        return False
    catch_up.newer_revisions[source] = revision
    if catch_up.behind_s is None:
        catch_up.behind_s = now_s
    if revision <= catch_up.seen:
        return False
    catch_up.seen, catch_up.seen_s = revision, now_s
    return True


def record_held_revision(catch_up: CatchUp[Source], held: int, now_s: float) -> None:
    """Record that this node now holds a newer revision."""
    for source, revision in tuple(catch_up.newer_revisions.items()):
        if revision <= held:
            del catch_up.newer_revisions[source]
    catch_up.asked.clear()
    catch_up.behind_s = now_s if catch_up.newer_revisions else None


def choose_source(
    catch_up: CatchUp[Source],
    is_near: Callable[[Source], bool],
    has_none: bool,
    now_s: float,
) -> Source | None:
    """Choose the source to ask for the document now, None to ask none yet.

    Args:
        catch_up: Changed in place: the returned source is recorded as asked.
        is_near: Returns whether a source is in this node's availability zone.
        has_none: Whether this node holds no configuration and serves no calls.
        now_s: The current time in seconds.
    """
    if catch_up.behind_s is None or now_s - catch_up.asked_s < NEXT_REQUEST_DELAY_S:
        return None
    candidates = [item for item in catch_up.newer_revisions if is_near(item)]
    if has_none or now_s - catch_up.behind_s >= OTHER_ZONE_DELAY_S:
        candidates += [
            item for item in catch_up.newer_revisions if item not in candidates
        ]
    if not candidates:
        return None
    if all(item in catch_up.asked for item in candidates):
        catch_up.asked.clear()
    chosen = next(item for item in candidates if item not in catch_up.asked)
    catch_up.asked[chosen] = None
    catch_up.asked_s = now_s
    return chosen


def remove_source(catch_up: CatchUp[Source], source: Source) -> None:
    """Remove a source that is no longer reachable."""
    catch_up.newer_revisions.pop(source, None)
    if next(reversed(catch_up.asked), None) == source:
        catch_up.asked_s = float("-inf")
    catch_up.asked.pop(source, None)
    if not catch_up.newer_revisions:
        catch_up.behind_s = None
