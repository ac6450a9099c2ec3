"""Seeds, known failures, and the check that every named proof ran.

``KNOWN-RED.txt`` lists tests that fail for a fault which is not mended yet, one a line:
``TEST | command | seed | what was seen | issue``. The run passes over just these and
prints them.
"""

from pathlib import Path

import pytest
from hypothesis import HealthCheck, settings

ROOT = Path(__file__).parents[1]
KNOWN_RED = ROOT / "KNOWN-RED.txt"

settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.register_profile(
    "fuzz",
    derandomize=False,
    deadline=None,
    max_examples=2000,
    suppress_health_check=[HealthCheck.too_slow],
    print_blob=True,
)
settings.load_profile("ci")


def known_red():
    """Return the known failures, by the test's id."""
    if not KNOWN_RED.exists():
        return {}
    lines = [line.strip() for line in KNOWN_RED.read_text().splitlines()]
    entries = [line for line in lines if line and not line.startswith("#")]
    return {entry.partition(" | ")[0]: entry for entry in entries}


def pytest_collection_modifyitems(items):
    for item in items:
        if item.nodeid in known_red():
            reason = known_red()[item.nodeid]
            item.add_marker(pytest.mark.xfail(reason=reason, strict=False))
    # The check of the proofs' page looks at what ran before it.
    items.sort(key=lambda item: item.path.name == "test_proofs.py")


def pytest_configure(config):
    config.passed_tests = set()


@pytest.hookimpl(wrapper=True)
def pytest_runtest_makereport(item, call):
    report = yield
    if report.when == "call" and report.passed:
        item.config.passed_tests.add(item.nodeid.partition("[")[0])
    return report


def pytest_terminal_summary(terminalreporter):
    for kind in ("xfailed", "xpassed"):
        for report in terminalreporter.stats.get(kind, ()):
            entry = known_red().get(report.nodeid, report.nodeid)
            terminalreporter.write_line(f"known red ({kind}): {entry}")
