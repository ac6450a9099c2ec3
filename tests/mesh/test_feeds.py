"""Applying changes that a node reads in the store."""

import attrs

from agaterelay.deployed import make_operator_format
from agaterelay.mesh.feeds import _apply_operator_row, _apply_rows
from agaterelay.mesh.store_watch import StoreWatch
from agaterelay.ports import Changes, StoredRow
from tests.mesh.fleet import ROUTES, config
from tests.mesh.test_views import Clock, node_of


def test_only_the_last_revision_of_a_batch_is_decoded():
    decoded = []
    watch = watch_of(node_of(1, "a", Clock()), decoded)
    rows = [StoredRow("op", "config", config(n, ROUTES), n) for n in range(1, 6)]
    _apply_rows(watch, Changes(tuple(rows), 5), _apply_operator_row)
    assert watch.state.table.revision == 5
    assert len(decoded) == 1


def watch_of(links, decoded):
    """Return a node's watch that appends each decoded document to ``decoded``."""
    formats = make_operator_format()

    def decode(value):
        decoded.append(value)
        return formats.decode_config(value)

    recording_formats = attrs.evolve(formats, decode_config=decode)
    return StoreWatch(links.context, links.state, links, recording_formats)
