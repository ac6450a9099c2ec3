"""Validation of deploy files and configuration rows by the ``check`` command."""

import json
import subprocess
import sys
from pathlib import Path

import pytest

from agaterelay.platform.deploy_file import check_deploy_file
from agaterelay.platform_check import check_platform_file
from tests.mesh.fleet import config, route

DEPLOY = Path(__file__).parents[2] / "deploy" / "system.toml"


def check(*arguments):
    command = [sys.executable, "-m", "agaterelay.cli.main", "check", *arguments]
    return subprocess.run(command, capture_output=True, text=True, timeout=60)


def findings_of(routes, **limits):
    document = json.loads(config(3, routes))
    document["limits"].update(limits)
    _, findings = check_platform_file(json.dumps(document).encode(), "row.json")
    return [str(item) for item in findings]


def test_our_own_deploy_file_has_no_findings():
    assert check_deploy_file(DEPLOY.read_text(), "system.toml") == ()


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("[roles", ["is not TOML"]),
        ('build = "make"', ["roles: there is none"]),
        ("[roles.node]", ["build:", "run: is missing", "on: is missing"]),
        (
            'build = "b"\n[roles.node]\nrun = "env python3 x"\non = "sidecar"\n'
            'share = 2\ncount = 1\nmetrics = "here"\nsorts = 1',
            ["'env' needs a shell", "share:", "share and count", "metrics:", "sorts:"],
        ),
        (
            'build = "b"\n'
            + "".join(
                f'[roles.n{n}]\nrun = "x"\non = "sidecar"\nserves = ["sidecar"]\n'
                for n in range(3)
            ),
            ["3 roles run on sidecar", "two roles on sidecar serve sidecar"],
        ),
    ],
)
def test_all_findings_on_a_deploy_file_come_together(text, expected):
    found = [str(item) for item in check_deploy_file(text, "system.toml")]
    for part in expected:
        assert any(part in item for item in found), (part, found)
    assert all(item.startswith("system.toml:1:1:") for item in found)


def test_a_row_that_can_be_served_has_no_findings():
    parts = [{"service": "desk", "weight": 90}, {"service": "panel", "weight": 10}]
    routes = [route("/a/", None, weightedClusters=parts), route("/b/", "panel")]
    assert findings_of(routes) == []


def test_all_findings_on_a_row_come_together():
    weights = [{"service": "desk", "weight": 0}, {"service": "panel", "weight": -1}]
    found = findings_of(
        [
            route("/a/", "nowhere"),
            route("/b/"),
            route("/b/", timeout="0ms", maxAttempts=0),
            route("c/", None, weightedClusters=weights),
        ],
        idleTimeout="0ms",
    )
    for part in (
        "nowhere is not among the services",
        "2 routes of host 'app.example' have the prefix '/b/'",
        "time-out is 0 ms",
        "0 attempts",
        "does not begin with /",
        "add up to nothing",
        "weight -1 of panel",
        "idle time-out is 0",
    ):
        assert any(part in item for item in found), (part, found)


def test_the_command_tells_a_deploy_file_from_a_row(tmp_path):
    assert check(str(DEPLOY)).returncode == 0
    row = tmp_path / "row.json"
    row.write_bytes(config(3, [route("/a/", "nowhere")]))
    run = check(str(row))
    assert run.returncode == 3
    assert "a configuration row, revision 3, 1 routes" in run.stderr
    row.write_bytes(config(3, [route("/a/")]))
    assert check("--json", str(row)).returncode == 0
