"""Operators' commands over real processes, with the faults of operators' days."""

import json
import time
import urllib.error
import urllib.request

import attrs
import pytest
from pytest_bdd import parsers, scenarios, then, when

from agaterelay.cli.outcome import Exit
from standins.deployment import RECORDS_SUFFIX, UPSTREAM_PORT, fetch, wait_until
from tests.scenarios.conftest import EXAMPLES, run_cli

scenarios("operators.feature")

QUIET_PERIOD_S = 1.0
REQUEST_ID = "request-that-nothing-serves"


@attrs.define
class Desk:
    """What an operator has at hand: files, and the last command's end."""

    site: object
    revision_before: int = 0
    text_before: str = ""
    read_text: str = ""
    done: object = None

    @property
    def node(self):
        return self.site.running.hosts[0].operators

    def key_file(self, team):
        path = self.site.running.folder / f"{team}.key"
        path.write_text(f"{team}-key\n")
        return path

    def document(self):
        return fetch(f"http://{self.node}/v1/document")

    def apply(self, team, text, *options):
        document = self.document()
        self.revision_before = document["revision"]
        self.text_before = json.dumps(document["sections"])
        path = self.site.running.folder / "edit.yaml"
        path.write_text(text)
        self.done = run_cli(
            "apply", path, "--node", self.node, "--key-file", self.key_file(team),
            "--section", "cue-desk", "--timeout-s", "4", *options,
        )  # fmt: skip


@pytest.fixture
def desk(site):
    return Desk(site)


def example():
    return (EXAMPLES / "siamsong.yaml").read_text()


@when(parsers.parse('the {team} applies cue-desk with "{old}" as "{new}"'))
def _apply(desk, team, old, new):
    assert old in example()
    desk.apply(team, example().replace(old, new))


@when(parsers.parse("the cue-team reads cue-desk to edit it"))
def _read(desk):
    done = run_cli("show", "section", "cue-desk", "--node", desk.node)
    assert done.returncode == 0
    desk.read_text = done.stdout


@when(parsers.parse('the cue-team applies what it read with "{old}" as "{new}"'))
def _apply_read(desk, old, new):
    desk.apply("cue-team", desk.read_text.replace(old, new))


@then(parsers.parse('it is told "{text}" and the exit status is {name}'))
def _refused(desk, text, name):
    assert text in desk.done.stderr
    assert "Traceback" not in desk.done.stderr
    assert desk.done.returncode == Exit[name]


@then(parsers.parse("the exit status is {name}"))
def _ended(desk, name):
    assert desk.done.returncode == Exit[name], desk.done.stderr


@then("nothing of the document changed")
def _unchanged(desk):
    document = desk.document()
    assert document["revision"] == desk.revision_before
    assert json.dumps(document["sections"]) == desk.text_before


@then(parsers.parse('"{text}" is in force'))
def _in_force(desk, text):
    wait_until(lambda: text in json.dumps(desk.document()), f"{text} in force")


@then("the document changed once")
def _changed_once(desk):
    assert desk.document()["revision"] == desk.revision_before + 1


@when("the platform loses the answer of the next write of its table service")
def _lose_answer(desk):
    url = f"http://{desk.site.running.platform_address}/faults"
    fetch(url, "PUT", {"table": {"lose_answers": 1}})


def upstream_of(desk, number):
    return f"{desk.site.host(number).ip}:{UPSTREAM_PORT}"


def drain(desk, number, *options):
    address = upstream_of(desk, number)
    desk.done = run_cli(
        "drain", "upstream", address, "--node", desk.node,
        "--key-file", desk.key_file("cue-team"), *options,
    )  # fmt: skip
    assert desk.done.returncode == 0, desk.done.stderr


@when(parsers.parse("the cue-team drains the upstream of host {number:d}"))
def _drain(desk, number):
    drain(desk, number)


@when(parsers.parse("the cue-team ends the drain of the upstream of host {number:d}"))
def _undo(desk, number):
    drain(desk, number, "--undo")


def runs_of(desk, number):
    name = f"{upstream_of(desk, number)}{RECORDS_SUFFIX}"
    return len((desk.site.running.folder / name).read_text().splitlines())


@then(
    parsers.parse(
        "the upstream of host {number:d} gets no new work after {s:d} seconds"
    )
)
def _no_work(desk, number, s):
    time.sleep(s)
    before = runs_of(desk, number)
    time.sleep(QUIET_PERIOD_S)
    assert runs_of(desk, number) == before
    assert runs_of(desk, 1) > 0


@then(parsers.parse("the upstream of host {number:d} gets new work"))
def _new_work(desk, number):
    before = runs_of(desk, number)
    wait_until(lambda: runs_of(desk, number) > before, "new work")


def timeline(desk, *options):
    done = run_cli("timeline", "--node", desk.node, "--json", *options)
    assert done.returncode == 0, done.stderr
    return json.loads(done.stdout)["events"]


@then("the time line shows the change on every host in causal order")
def _change_explained(desk):
    change = desk.done.stdout.split("change ")[-1].split(",")[0].strip()
    hosts = {host.peers for host in desk.site.running.hosts}

    def activated():
        events = timeline(desk, "--change", change)
        names = [event["name"] for event in events]
        assert names[0] == "revision_committed"
        found = {
            event["host"] for event in events if event["name"] == "revision_activated"
        }
        return found == hosts

    wait_until(activated, "the change on the time line of every host")


@when("a caller asks for /panel-feed/live, which nothing serves")
def _refused_call(desk):
    url = f"http://{desk.site.host(2).calls}/panel-feed/live"
    request = urllib.request.Request(url, headers={"Request-Id": REQUEST_ID})
    with pytest.raises(urllib.error.HTTPError) as error:
        urllib.request.urlopen(request, timeout=5)
    assert error.value.headers["Agaterelay-Outcome"] == "not-run"


@then("the time line explains that request")
def _request_explained(desk):
    (event,) = timeline(desk, "--request", REQUEST_ID)
    assert event["name"] == "call_not_run"
    assert event["host"] == desk.site.host(2).peers
    assert event["fields"]["reason"]
