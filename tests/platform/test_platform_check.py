"""Validation of deploy files and configuration rows by the ``check`` command."""

import asyncio
import json
import subprocess
import sys
from pathlib import Path

import pytest

from agaterelay.platform.deploy_file import check_deploy_file
from agaterelay.platform_check import (
    Document,
    check_configuration,
    check_platform_file,
    read_active_document,
)
from agaterelay.ports import PlatformError
from standins.store import StandInStore, put_row, start_store
from tests.mesh.fleet import config, free_address, route
from tests.platform.test_workspaces import document

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
        "2 routes of host 'app.example' have the prefix '/b/' (rows 2, 3)",
        "[routes, row 1, route ra] the service nowhere",
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


KEYS = ["SECRET-1", "SECRET-2"]


def report_of(value, active=None, **options):
    active = Document(active, "active.json") if active else None
    return check_configuration(Document(value, "row.json"), active, **options)


def test_routes_that_contradict_themselves_or_never_match_are_found():
    """Guards against routes that look right and get no request."""
    weights = [{"service": "desk", "weight": 9}, {"service": "panel", "weight": 0}]
    value = config(
        1,
        [
            route("/a/", timeout="400ms"),
            route("/b/?x", host="app.example:80"),
            route("/c/", None, weightedClusters=weights),
        ],
    )
    report = report_of(value)
    found = [str(item) for item in report.findings]
    assert len(found) == 3
    assert "time-out of 400 ms is below the target latency of 500 ms" in found[0]
    assert "has a port" in found[1]
    assert "has a query" in found[2]
    (note,) = report.notes
    assert "[routes, row 3, route rc] the weight of panel is 0" in str(note)


def test_workspaces_that_contradict_themselves_are_found():
    """Guards against quotas that refuse everything, and against printed keys."""
    rows = [
        ["acme", [*KEYS, KEYS[0]], 0, 50, 0.5],
        ["zen", ["", " SECRET-3", "SECRET\t4", "S" * 2000], 0, 60, 60],
        ["idle", [], 0, 0, 5],
    ]
    report = report_of(document(1, rows), capacity_per_s=100)
    found = [(item.section, item.message) for item in report.findings]
    sections = [section for section, _ in found]
    assert sections == [
        "tenants, row 1",
        "tenants",
        "tenants, row 1, key 3",
        "tenants, row 2, key 1",
        "tenants, row 2, key 2",
        "tenants, row 2, key 3",
        "tenants, row 2, key 4",
    ]
    assert "the burst of acme is 0.5 and holds no request" in found[0][1]
    assert "add up to 110 a second" in found[1][1]
    assert "given before, as key 1" in found[2][1]
    assert [item.section for item in report.notes] == ["tenants, row 3"] * 2
    assert "SECRET" not in str((report.findings, report.notes))
    assert report_of(document(1, rows[1:2]), capacity_per_s=60).notes == ()


def test_what_differs_from_the_version_in_force_is_told():
    """Guards against a change that the operator did not mean."""
    tree = json.loads(document(2, [["acme", KEYS, 0, 50, 50], ["old", [], 1, 1, 1]]))
    before = json.dumps(tree).encode()
    tree["version"] = "00000003"
    tree["routes"]["rows"] = [route(timeout="2s"), route("/new/")]
    tree["services"]["rows"][0][1] = "/other"
    tree["limits"]["maxBodyBytes"] = 5
    tree["tenants"]["rows"] = [["acme", [KEYS[1], "SECRET-3"], 0, 60, 50]]
    after = json.dumps(tree).encode()
    report = report_of(after, before)
    assert report.findings == ()
    assert [str(item) for item in report.differences] == [
        "routes app.example/new/ added",
        "routes app.example/read/ changed: timeout 1500 -> 2000 ms",
        "services desk changed: health path /healthz -> /other",
        "limits changed: maxBodyBytes 1048576 -> 5 bytes",
        "tenants acme changed: rate 50 -> 60 a second; 1 key added; 1 key removed",
        "tenants old removed",
    ]
    assert report_of(before, before).differences == ()
    assert report_of(before).differences is None
    (stale,) = report_of(before, after).findings
    assert "the version is 2, not above 3" in stale.message
    opened = report_of(document(4, None), after).differences
    assert "tenants removed: requests on routes that are not public need no key" in str(
        opened[-2]
    )


def test_a_version_in_force_that_cannot_be_read_is_found():
    (finding,) = report_of(document(2, []), b"{").findings
    assert str(finding).startswith("active.json:1:1:")


def test_the_version_in_force_is_read_from_a_store():
    """Guards against an empty or absent store that is taken for no difference."""

    async def scenario():
        store, address = StandInStore(), free_address()
        with pytest.raises(PlatformError):
            await read_active_document(address)
        runner = await start_store(store, address)
        try:
            with pytest.raises(PlatformError):
                await read_active_document(address)
            await put_row(store, "op", "config", document(7, []))
            assert (await read_active_document(address)).value == document(7, [])
        finally:
            await runner.cleanup()

    asyncio.run(scenario())


def test_the_command_compares_files_and_scripts_read_its_status(tmp_path):
    old, new = tmp_path / "old.json", tmp_path / "new.json"
    old.write_bytes(document(1, [["acme", KEYS, 0, 50, 50]]))
    new.write_bytes(document(2, [["acme", [], 0, 50, 50]]))
    run = check("--against", str(old), str(new))
    assert run.returncode == 0
    assert "note: " in run.stdout
    assert "differs: tenants acme changed: 2 keys removed" in run.stdout
    run = check("--json", "--capacity", "49", "--against", str(old), str(new))
    assert run.returncode == 3
    value = json.loads(run.stdout)
    assert [item["section"] for item in value["findings"]] == ["tenants"]
    assert [item["name"] for item in value["differences"]] == ["acme"]
    assert check("--against", str(old), str(DEPLOY)).returncode == 2
    assert check("--against", str(old), "--store", "a:1", str(new)).returncode == 2
    assert check("--store", free_address(), str(new)).returncode == 6
