"""What a node makes of changes that it reads in the store."""

import attrs

from agaterelay.deployed import make_operator_format
from agaterelay.mesh.feeds import _take_operator_row, _take_rows
from agaterelay.mesh.watch import Watch
from agaterelay.ports import Changes, StoredRow
from tests.mesh.fleet import ROUTES, config
from tests.mesh.test_views import Clock, node_of


def test_of_revisions_that_come_together_only_the_last_is_decoded():
    decoded = []
    watch = watch_of(node_of(1, "a", Clock()), decoded)
    rows = [StoredRow("op", "config", config(n, ROUTES), n) for n in range(1, 6)]
    _take_rows(watch, Changes(tuple(rows), 5), _take_operator_row)
    assert watch.state.table.revision == 5
    assert len(decoded) == 1


def watch_of(links, decoded):
    """Return the watch of a node that notes each document that is decoded."""
    formats = make_operator_format()

    def decode(value):
        decoded.append(value)
        return formats.decode_config(value)

    noting = attrs.evolve(formats, decode_config=decode)
    return Watch(links.context, links.state, links, noting)
