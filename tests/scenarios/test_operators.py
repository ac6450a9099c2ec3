"""Operator commands against real processes: bad keys, conflicts, lost answers, drains."""

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
UNSERVED_REQUEST_ID = "request-that-nothing-serves"


@attrs.define
class OperatorSession:
    """An operator's key files, documents and last command."""

    site: object
    revision_before: int = 0
    text_before: str = ""
    read_text: str = ""
    command: object = None

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
        self.command = run_cli(
            "apply", path, "--node", self.node, "--key-file", self.key_file(team),
            "--section", "cue-desk", "--timeout-s", "4", *options,
        )  # fmt: skip


@pytest.fixture
def session(site):
    return OperatorSession(site)


def read_example():
    return (EXAMPLES / "siamsong.yaml").read_text()


@when(parsers.parse('the {team} applies cue-desk with "{old}" as "{new}"'))
def _apply_edit(session, team, old, new):
    assert old in read_example()
    session.apply(team, read_example().replace(old, new))


@when(parsers.parse("the cue-team reads cue-desk to edit it"))
def _read_section(session):
    command = run_cli("show", "section", "cue-desk", "--node", session.node)
    assert command.returncode == 0
    session.read_text = command.stdout


@when(parsers.parse('the cue-team applies what it read with "{old}" as "{new}"'))
def _apply_read_text(session, old, new):
    session.apply("cue-team", session.read_text.replace(old, new))


@then(parsers.parse('it is told "{text}" and the exit status is {name}'))
def _check_refusal(session, text, name):
    assert text in session.command.stderr
    assert "Traceback" not in session.command.stderr
    assert session.command.returncode == Exit[name]


@then(parsers.parse("the exit status is {name}"))
def _check_exit_status(session, name):
    assert session.command.returncode == Exit[name], session.command.stderr


@then("nothing of the document changed")
def _check_unchanged(session):
    document = session.document()
    assert document["revision"] == session.revision_before
    assert json.dumps(document["sections"]) == session.text_before


@then(parsers.parse('"{text}" is in force'))
def _check_in_force(session, text):
    wait_until(lambda: text in json.dumps(session.document()), f"{text} in force")


@then("the document changed once")
def _check_changed_once(session):
    assert session.document()["revision"] == session.revision_before + 1


@when("the platform loses the answer of the next write of its table service")
def _lose_write_answer(session):
    url = f"http://{session.site.running.platform_address}/faults"
    fetch(url, "PUT", {"table": {"lose_answers": 1}})


def upstream_address(session, number):
    return f"{session.site.host(number).ip}:{UPSTREAM_PORT}"


def run_drain(session, number, *options):
    address = upstream_address(session, number)
    session.command = run_cli(
        "drain", "upstream", address, "--node", session.node,
        "--key-file", session.key_file("cue-team"), *options,
    )  # fmt: skip
    assert session.command.returncode == 0, session.command.stderr


@when(parsers.parse("the cue-team drains the upstream of host {number:d}"))
def _drain_upstream(session, number):
    run_drain(session, number)


@when(parsers.parse("the cue-team ends the drain of the upstream of host {number:d}"))
def _end_drain(session, number):
    run_drain(session, number, "--undo")


def count_runs(session, number):
    name = f"{upstream_address(session, number)}{RECORDS_SUFFIX}"
    return len((session.site.running.folder / name).read_text().splitlines())


@then(
    parsers.parse(
        "the upstream of host {number:d} gets no new work after {s:d} seconds"
    )
)
def _check_no_calls(session, number, s):
    time.sleep(s)
    before = count_runs(session, number)
    time.sleep(QUIET_PERIOD_S)
    assert count_runs(session, number) == before
    assert count_runs(session, 1) > 0


@then(parsers.parse("the upstream of host {number:d} gets new work"))
def _check_new_calls(session, number):
    before = count_runs(session, number)
    wait_until(
        lambda: count_runs(session, number) > before,
        "a new call to the upstream",
    )


def read_timeline(session, *options):
    command = run_cli("timeline", "--node", session.node, "--json", *options)
    assert command.returncode == 0, command.stderr
    return json.loads(command.stdout)["events"]


@then("the time line shows the change on every host in causal order")
def _check_change_timeline(session):
    change_id = session.command.stdout.split("change ")[-1].split(",")[0].strip()
    hosts = {host.peers for host in session.site.running.hosts}

    def is_activated():
        events = read_timeline(session, "--change", change_id)
        names = [event["name"] for event in events]
        assert names[0] == "revision_committed"
        activated_on = {
            event["host"] for event in events if event["name"] == "revision_activated"
        }
        return activated_on == hosts

    wait_until(is_activated, "the activation of the change on every host")


@when("a caller asks for /panel-feed/live, which nothing serves")
def _send_unserved_call(session):
    url = f"http://{session.site.host(2).calls}/panel-feed/live"
    request = urllib.request.Request(url, headers={"Request-Id": UNSERVED_REQUEST_ID})
    with pytest.raises(urllib.error.HTTPError) as error:
        urllib.request.urlopen(request, timeout=5)
    assert error.value.headers["Agaterelay-Outcome"] == "not-run"


@then("the time line explains that request")
def _check_request_timeline(session):
    (event,) = read_timeline(session, "--request", UNSERVED_REQUEST_ID)
    assert event["name"] == "call_not_run"
    assert event["host"] == session.site.host(2).peers
    assert event["fields"]["reason"]
