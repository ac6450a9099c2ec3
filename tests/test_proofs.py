"""Every test that ``docs/PROOFS.md`` names exists, ran, and passed."""

import re

from tests.conftest import KNOWN_RED, ROOT, known_red

PAGE = ROOT / "docs" / "PROOFS.md"
NAME = re.compile(r"tests/[a-z_/]+\.py::[A-Za-z0-9_:]+")


def test_named_proofs_ran(request):
    names = set(NAME.findall(PAGE.read_text()))
    whole_run = not request.config.getoption("keyword") and len(
        request.session.items
    ) > len(names)
    if not whole_run:
        names &= {item.nodeid.partition("[")[0] for item in request.session.items}
    missing = names - request.config.passed_tests - set(known_red())
    assert not missing, f"named in {PAGE.name}, but not passed: {sorted(missing)}"


def test_known_failures_are_whole_entries():
    for entry in known_red().values():
        assert len(entry.split(" | ")) == 5, f"{KNOWN_RED.name}: {entry}"
