"""Every test that ``docs/PROOFS.md`` names exists, ran, and passed."""

import re

from tests.conftest import KNOWN_FAILURES_PATH, ROOT, read_known_failures

PROOFS_PATH = ROOT / "docs" / "PROOFS.md"
TEST_ID_PATTERN = re.compile(r"tests/[a-z_/]+\.py::[A-Za-z0-9_:]+")


def test_named_proofs_ran(request):
    named_tests = set(TEST_ID_PATTERN.findall(PROOFS_PATH.read_text()))
    is_full_run = not request.config.getoption("keyword") and len(
        request.session.items
    ) > len(named_tests)
    if not is_full_run:
        named_tests &= {item.nodeid.partition("[")[0] for item in request.session.items}
    missing = named_tests - request.config.passed_tests - set(read_known_failures())
    assert not missing, (
        f"{PROOFS_PATH.name} names tests that did not pass: {sorted(missing)}"
    )


def test_known_failures_are_whole_entries():
    for entry in read_known_failures().values():
        assert len(entry.split(" | ")) == 5, f"{KNOWN_FAILURES_PATH.name}: {entry}"
