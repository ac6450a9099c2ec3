"""Malformed input to every interface of a running node.

Each must be answered by an error, leave no traceback in the log, and neither stop the
node nor disturb the calls that are sent meanwhile.
"""

import hashlib
import json
import socket
import subprocess
import sys

import grpc
import pytest

from agaterelay.proto import peer_pb2 as pb, peer_pb2_grpc
from standins import traffic as callers
from standins.deployment import ADMIN_KEY, deployment, fetch, start_upstream, wait_until
from tests.scenarios.conftest import EXAMPLES, run_cli

SECTION_TEMPLATE = (
    "section: owners\nowner: admin\nowners:\n  - name: {0}\n    key_sha256: {1}\n"
)
REPLY_TIMEOUT_S = 5.0

# The bytes are sent unchanged; the status line of the response must contain one of the
# status codes.
RAW_CALLS = {
    "no protocol": (b"\x16\x03\x01\x02\x00" + b"\x00" * 64, ("400",)),
    "no version": (b"GET /cue-desk/script\r\n\r\n", ("400", "505")),
    "wrong version": (b"GET / HTTP/9.9\r\nHost: x\r\n\r\n", ("400", "505")),
    "NUL in a header": (b"GET / HTTP/1.1\r\nHost: x\r\nA: b\0c\r\n\r\n", ("400",)),
    "control in a name": (b"GET / HTTP/1.1\r\nHost: x\r\nA\x01: b\r\n\r\n", ("400",)),
    "no UTF-8": (b"GET / HTTP/1.1\r\nHost: x\r\nRequest-Id: \xff\r\n\r\n", ("400",)),
    "long header": (b"GET / HTTP/1.1\r\nA: " + b"b" * 70_000 + b"\r\n\r\n", ("400",)),
    "long path": (b"GET /" + b"a" * 70_000 + b" HTTP/1.1\r\n\r\n", ("400",)),
    "two lengths": (
        b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabc",
        ("400",),
    ),
    "huge length": (
        b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: " + b"9" * 30 + b"\r\n\r\n",
        ("400", "413"),
    ),
    "oversized": (
        b"POST /cue-desk/fire HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999\r\n\r\n",
        ("413",),
    ),
    "bad chunk": (
        b"POST /cue-desk/fire HTTP/1.1\r\nHost: x\r\n"
        b"Transfer-Encoding: chunked\r\n\r\nzz\r\n",
        ("400",),
    ),
    "odd deadline and key": (
        "GET /cue-desk/script HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
        "Deadline-Ms: ٣٣\r\nIdempotency-Key: \x7f\r\n\r\n".encode(),
        ("400",),
    ),
    "forged hop": (
        b"GET /cue-desk/script HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
        b"Agaterelay-Hop: 1\r\nAgaterelay-Priority: x\r\nDeadline-Ms: -1\r\n"
        b"Agaterelay-Retries-Left: " + b"9" * 400 + b"\r\n\r\n",
        ("503", "504", "400"),
    ),
}
TRUNCATED_REQUEST = (
    b"POST /cue-desk/fire HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\nhalf"
)
# Path, method, raw body, key, and the expected status of the response.
OPERATOR_REQUESTS = (
    ("/v1/changes", "POST", b"", ADMIN_KEY, 400),
    ("/v1/changes", "POST", b"[]", ADMIN_KEY, 400),
    ("/v1/changes", "POST", b"\xff\xfe", ADMIN_KEY, 400),
    ("/v1/changes", "POST", b"[" * 200_000, ADMIN_KEY, 400),
    ("/v1/changes", "POST", b'{"change_id": NaN}', ADMIN_KEY, 400),
    ("/v1/changes", "POST", b'{"change_id": 7}', ADMIN_KEY, 400),
    ("/v1/changes", "POST", b'{"surprise": 1}', ADMIN_KEY, 400),
    ("/v1/changes", "POST", b" " * 3_000_000, ADMIN_KEY, 413),
    ("/v1/changes", "POST", b'{"change_id": "a-change", "text": ""}', "no", 403),
    (
        "/v1/changes",
        "POST",
        json.dumps({"change_id": "a-change-1", "text": "\ud800"}).encode(),
        ADMIN_KEY,
        400,
    ),
    (
        "/v1/changes",
        "POST",
        json.dumps({"change_id": "a-change-2", "text": "a: \0"}).encode(),
        ADMIN_KEY,
        422,
    ),
    ("/v1/upstreams/elsewhere", "PUT", b"{}", "", 400),
    ("/v1/upstreams/127.0.0.1:9", "PUT", b'{"service": "x\\u0000"}', "", 400),
    (
        "/v1/upstreams/127.0.0.1:9",
        "PUT",
        b'{"service": "x", "version": "1", "slots": 1' + b"0" * 5000 + b"}",
        "",
        400,
    ),
    ("/v1/timeline?most=%D9%A3", "GET", b"", "", 400),
    ("/v1/timeline?surprise=1", "GET", b"", "", 400),
    ("/v1/timeline?after_us=" + "9" * 40, "GET", b"", "", 400),
    ("/v1/moves/%00%ff/take-back", "POST", b"{}", ADMIN_KEY, 404),
    ("/v1/drain", "POST", b"", "not the key", 403),
    ("/v1/nothing", "GET", b"", "", 404),
    ("/v1/document", "PATCH", b"", "", 405),
)


@pytest.fixture(scope="module")
def running():
    with deployment({"bangkok-1": 1, "bangkok-2": 1}, probe_period_s=0.3) as running:
        for host in running.hosts:
            start_upstream(running, host, "cue-desk", "v1")
        key_file = running.folder / "admin.key"
        key_file.write_text(ADMIN_KEY)
        cue_file = running.folder / "cue.key"
        cue_file.write_text("cue-team-key")
        for section, file in (("owners", key_file), ("cue-desk", cue_file)):
            command = run_cli(
                "apply", EXAMPLES / "siamsong.yaml", "--node",
                running.hosts[0].operators, "--key-file", file,
                "--section", section, "--wait",
            )  # fmt: skip
            assert command.returncode == 0, command.stderr

        def are_announced():
            status = fetch(f"http://{running.hosts[0].operators}/v1/status")
            return len(status["upstreams"]) == 2

        wait_until(are_announced, "the announcement of both upstreams")
        nodes = tuple(host.calls for host in running.hosts)
        methods_and_paths = (("POST", "/cue-desk/fire"), ("GET", "/cue-desk/script"))
        traffic = callers.start_traffic(nodes, methods_and_paths, 0.02)
        yield running
        callers.stop_traffic(traffic)
        runs = callers.count_runs(running)
        assert callers.find_problems(traffic, runs) == []
        for host in running.hosts:
            assert host.node.poll() is None
            log = (running.folder / f"{host.ip}.log").read_text()
            assert "Traceback" not in log
            for line in log.splitlines():
                event = json.loads(line)
                assert isinstance(event["number"], int)
                assert event["event"] != "task_failed"
            assert ADMIN_KEY not in log and "cue-team-key" not in log


def send_raw(address, content, half_close=False):
    """Send bytes over a new connection and return the start of the response.

    Returns:
        At most 4096 bytes; none when the node closed or reset the connection.
    """
    host, port = address.split(":")
    with socket.create_connection((host, int(port)), REPLY_TIMEOUT_S) as connection:
        try:
            connection.sendall(content)
            if half_close:
                connection.shutdown(socket.SHUT_WR)
            return connection.recv(4096)
        except ConnectionError:
            return b""


@pytest.mark.parametrize("name", RAW_CALLS)
def test_a_bad_call_is_answered_by_an_error(running, name):
    content, statuses = RAW_CALLS[name]
    answer = send_raw(running.hosts[0].calls, content)
    status_line = answer.split(b"\r\n")[0].decode()
    assert any(f" {status}" in status_line for status in statuses), answer[:200]
    assert b"Traceback" not in answer


def test_a_call_that_is_cut_short_does_not_run(running):
    send_raw(running.hosts[0].calls, TRUNCATED_REQUEST, half_close=True)
    send_raw(running.hosts[0].operators, TRUNCATED_REQUEST, half_close=True)
    records = callers.read_records(running)
    without_id = [record for record in records if not record["request_id"]]
    assert not [record for record in without_id if record["path"] == "/cue-desk/fire"]


@pytest.mark.parametrize("number", range(len(OPERATOR_REQUESTS)))
def test_a_bad_operators_request_is_answered_by_an_error(running, number):
    path, method, body, key, expected = OPERATOR_REQUESTS[number]
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
        f"Authorization: Bearer {key}\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    answer = send_raw(running.hosts[0].operators, head.encode() + body)
    assert f" {expected}" in answer.split(b"\r\n")[0].decode(), answer[:300]
    assert json.loads(answer.split(b"\r\n\r\n")[1])["message"]


def malformed_peer_calls(address):
    """Yield gRPC methods, malformed messages and the names of the expected codes."""
    options = [("grpc.max_send_message_length", -1)]
    with grpc.insecure_channel(address, options) as channel:
        stub = peer_pb2_grpc.PeerStub(channel)
        yield stub.Status, pb.StatusRequest(protocol=99), "FAILED_PRECONDITION"
        yield stub.Status, pb.StatusRequest(), "FAILED_PRECONDITION"
        member = pb.Member(host="127.0.0.9:1", incarnation=2**63 - 1)
        bad = pb.ExchangeRequest(protocol=1, updates=[member])
        yield stub.Exchange, bad, "INVALID_ARGUMENT"
        bad = pb.NotifyRequest(protocol=1, revision=pb.Revision(number=-1))
        yield stub.Notify, bad, "INVALID_ARGUMENT"
        bad = pb.FetchRequest(protocol=1, digests=["x"] * 10_001)
        yield stub.Fetch, bad, "INVALID_ARGUMENT"
        bad = pb.FetchRequest(protocol=1, digests=["x" * 5_000_000])
        yield stub.Fetch, bad, "RESOURCE_EXHAUSTED"
        bad = pb.EventsRequest(protocol=1, most=-5)
        yield stub.Events, bad, "INVALID_ARGUMENT"
        raw = channel.unary_unary("/agaterelay.peer.Peer/Exchange")
        yield raw, b"\xff\xff\xff", "UNKNOWN"
        raw = channel.unary_unary("/agaterelay.peer.Peer/Nothing")
        yield raw, b"", "UNIMPLEMENTED"


def test_a_bad_message_of_a_peer_is_answered_by_an_error(running):
    for call, message, expected in malformed_peer_calls(running.hosts[0].peers):
        with pytest.raises(grpc.RpcError) as error:
            call(message, timeout=REPLY_TIMEOUT_S)
        assert error.value.code().name == expected, message
    send_raw(running.hosts[0].peers, b"\x00" * 2000, half_close=True)


@pytest.mark.parametrize(
    ("arguments", "status"),
    [
        (["check", "/nowhere"], 2),
        (["check", "{no_text}"], 2),
        (["status", "--node", "\x01"], 2),
        (["status", "--node", "127.0.0.1:1"], 7),
        (["apply", "{good}", "--node", "{node}", "--key-file", "{no_text}"], 2),
        (["move", "show", "\x07\u202e", "--node", "{node}"], 9),
        (["timeline", "--node", "{node}", "--number", "x"], 2),
        (["timeline", "--node", "{node}", "--request", "x" * 999], 2),
        (["surprise"], 2),
    ],
)
def test_a_bad_command_line_ends_with_its_exit_status(running, arguments, status):
    no_text = running.folder / "no_text"
    no_text.write_bytes(b"\xff\x00")
    good = running.folder / "good.yaml"
    digest = hashlib.sha256(b"x").hexdigest()
    good.write_text(SECTION_TEMPLATE.format("x", digest))
    values = {
        "{no_text}": str(no_text),
        "{good}": str(good),
        "{node}": running.hosts[0].operators,
    }
    command = run_cli(*[values.get(argument, argument) for argument in arguments])
    assert command.returncode == status, command.stderr
    assert "Traceback" not in command.stderr and command.stderr + command.stdout


def test_bad_settings_are_all_shown_and_nothing_starts(running):
    path = running.folder / "bad.toml"
    path.write_text("[node]\nzone = 7\nextra = 1\n[surprise]\n")
    command = [sys.executable, "-m", "agaterelay.cli.main", "node", "--settings"]
    done = subprocess.run([*command, path], capture_output=True, text=True, timeout=30)
    assert done.returncode == 2
    lines = done.stderr.splitlines()
    assert len(lines) == 10 and all(line.startswith(f"{path}:") for line in lines)
