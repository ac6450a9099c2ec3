"""Hypothesis profiles, known failures, and the record of passed tests.

``KNOWN-RED.txt`` lists tests that fail because of a fault that is not fixed yet, one per
line: ``TEST | command | seed | what was seen | issue``. Only these tests may fail; the
summary of the run prints their entries.
"""

from pathlib import Path

import pytest
from hypothesis import HealthCheck, settings

ROOT = Path(__file__).parents[1]
KNOWN_FAILURES_PATH = ROOT / "KNOWN-RED.txt"

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


def read_known_failures():
    """Return the entries of ``KNOWN-RED.txt`` by test id; none without the file."""
    if not KNOWN_FAILURES_PATH.exists():
        return {}
    lines = [line.strip() for line in KNOWN_FAILURES_PATH.read_text().splitlines()]
    entries = [line for line in lines if line and not line.startswith("#")]
    return {entry.partition(" | ")[0]: entry for entry in entries}


def pytest_collection_modifyitems(items):
    for item in items:
        if item.nodeid in read_known_failures():
            reason = read_known_failures()[item.nodeid]
            item.add_marker(pytest.mark.xfail(reason=reason, strict=False))
    # test_proofs.py checks which tests have passed, so it has to run last.
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
            entry = read_known_failures().get(report.nodeid, report.nodeid)
            terminalreporter.write_line(f"known red ({kind}): {entry}")
