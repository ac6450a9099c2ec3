"""Decide whom to ask for a newer configuration that other nodes have named.

This answers a fleet in which some nodes can't read the store while others can. A document
is large and bytes between availability zones are dear, so a node asks its own zone at
once and another zone only after a short delay. The delay runs from when the newer
revision was first heard of; what equally late neighbours say meanwhile is no reason to
wait longer.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable
from typing import Generic, TypeVar

import attrs

# How long a node that is behind waits for its own zone before it asks another one.
OTHER_ZONE_DELAY_S = 0.4
# A node that was asked and sent nothing by then is passed over for another one. In quick
# changes this also bounds how many documents a node takes in a second.
ASK_AGAIN_S = 0.3

Source = TypeVar("Source", bound=Hashable)


@attrs.define
class CatchUp(Generic[Source]):
    """What a node knows of revisions that are newer than its own.

    ``ahead`` maps each source that named one to the newest that it named, ``seen`` is the
    newest that anybody named, first at ``seen_s``. ``behind_s`` is since when the node
    has made no progress towards it. Times are on the steady clock.
    """

    ahead: dict[Source, int] = attrs.field(factory=dict)
    seen: int = 0
    seen_s: float = 0.0
    behind_s: float | None = None
    asked: Source | None = None
    asked_s: float = float("-inf")


def hear(
    catch_up: CatchUp[Source], source: Source, revision: int, held: int, now_s: float
) -> bool:
    """Note which revision a source holds; return whether nobody named it before.

    Args:
        catch_up: Changed in place.
        source: Who named the revision.
        revision: The revision.
        held: The revision that this node holds.
        now_s: The present time.
    """
    if revision <= held:
        catch_up.ahead.pop(source, None)
        return False
    catch_up.ahead[source] = revision
    if catch_up.behind_s is None:
        catch_up.behind_s = now_s
    if revision <= catch_up.seen:
        return False
    catch_up.seen, catch_up.seen_s = revision, now_s
    return True


def note_held(catch_up: CatchUp[Source], held: int, now_s: float) -> None:
    """Note that this node holds a newer revision than before."""
    for source, revision in tuple(catch_up.ahead.items()):
        if revision <= held:
            del catch_up.ahead[source]
    catch_up.behind_s = now_s if catch_up.ahead else None


def next_to_ask(
    catch_up: CatchUp[Source],
    is_near: Callable[[Source], bool],
    has_none: bool,
    now_s: float,
) -> Source | None:
    """Return whom to ask for the document now, None where nobody is to be asked yet.

    Args:
        catch_up: Changed in place: the source returned counts as asked.
        is_near: Returns whether a source is in this node's availability zone.
        has_none: Whether this node holds no configuration at all and serves nobody.
        now_s: The present time.
    """
    if catch_up.behind_s is None or now_s - catch_up.asked_s < ASK_AGAIN_S:
        return None
    candidates = [item for item in catch_up.ahead if is_near(item)]
    if has_none or now_s - catch_up.behind_s >= OTHER_ZONE_DELAY_S:
        candidates += [item for item in catch_up.ahead if item not in candidates]
    if not candidates:
        return None
    fresh = [item for item in candidates if item != catch_up.asked]
    catch_up.asked = (fresh or candidates)[0]
    catch_up.asked_s = now_s
    return catch_up.asked


def forget_source(catch_up: CatchUp[Source], source: Source) -> None:
    """Forget a source that can't be asked any more."""
    catch_up.ahead.pop(source, None)
    if catch_up.asked == source:
        catch_up.asked = None
        catch_up.asked_s = float("-inf")
    if not catch_up.ahead:
        catch_up.behind_s = None
