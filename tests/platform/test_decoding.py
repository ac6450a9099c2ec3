"""Decoding of valid and invalid platform data."""

import json

import attrs
import msgpack
import pytest
from hypothesis import given, strategies as st

from agaterelay.adapters.http_pool import render_head
from agaterelay.core.call import Call
from agaterelay.core.evacuation import Evacuation
from agaterelay.core.membership import Member, UpstreamInfo
from agaterelay.core.model import ColdLimit, MoveState
from agaterelay.core.outcome import Answered, NotRun, Unknown
from agaterelay.core.signals import UpstreamSignals
from agaterelay.core.trial import MoveRecord
from agaterelay.mesh.store_watch import MOVE_PREFIX
from agaterelay.mesh.wire import (
    decode_member,
    decode_move,
    encode_member,
    encode_move,
)
from agaterelay.platform.announcements import decode_announcement, decode_born_ms
from agaterelay.platform.config import KnownRoutes, decode_config
from agaterelay.platform.headers import (
    decode_cold_left_s,
    decode_upstream_outcome,
    decode_upstream_signals,
    forwarded_headers,
    upstream_headers,
)
from agaterelay.platform.orders import (
    decode_evacuation,
    decode_order,
    encode_status,
    status_key,
)
from agaterelay.platform.settings import parse_deployment
from agaterelay.platform.units import parse_seconds
from agaterelay.ports import StoredRow
from tests.mesh.fleet import config, route

# The longest key of a row that the platform's store takes.
MAX_KEY_BYTES = 200
SETTINGS = {
    "nodeName": "sidecar-a-1",
    "ip": "10.1.0.38",
    "zone": "a",
    "bind": {
        "inbound": "10.1.0.38:8146",
        "outbound": "10.1.0.38:8147",
        "ready": "10.1.0.38:8141",
        "admin": "10.1.0.38:8144",
    },
    "bootstrap": True,
    "heartbeat": "1500ms",
    "bounds": {"drainTimeout": "2000ms", "grace": "6s", "retryBudgetSlack": 62},
    "appAddr": "10.1.0.38:8145",
    "service": "desk",
    "platform": {"address": "10.200.1.7:8142"},
    "somethingNew": {"a": 1},
}
ANNOUNCEMENT = {
    "service": "desk",
    "address": "10.1.0.38:8145",
    "zone": "a",
    "version": "v1",
    "concurrency": 9,
    "state": "ready",
    "coldLeft": "2.5s",
    "sequence": 4,
    "born": 1000,
}


@pytest.mark.parametrize(
    "text",
    [
        "[" * 100_000,
        json.dumps({**SETTINGS, "limits": {"linkMbps": float("inf")}}),
        json.dumps({**SETTINGS, "zone": "a\r\n"}),
    ],
)
def test_settings_that_cannot_be_read_are_found_invalid(text):
    deployment, findings = parse_deployment(text, "boot.json")
    assert deployment is None
    assert findings


def test_settings_become_a_deployment():
    deployment, findings = parse_deployment(json.dumps(SETTINGS), "boot.json")
    assert not findings
    assert deployment.heartbeat_s == 1.5
    assert deployment.bounds.drain_s == 2.0
    assert deployment.bounds.retry_slack == 62
    assert deployment.first_start
    assert deployment.link_mbps == 0
    with_link_limit = {**SETTINGS, "limits": {"linkMbps": 200.0}}
    assert (
        parse_deployment(json.dumps(with_link_limit), "boot.json")[0].link_mbps == 200
    )


def test_all_findings_come_together():
    broken = {**SETTINGS, "zone": 7, "heartbeat": "soon", "bind": {}}
    deployment, findings = parse_deployment(json.dumps(broken), "boot.json")
    assert deployment is None
    texts = [str(finding) for finding in findings]
    for path in ("zone", "heartbeat", "bind.inbound", "bind.admin"):
        assert any(f"{path}:" in text for text in texts)
    assert parse_deployment("{", "boot.json")[1][0].place.line == 1


def test_a_configuration_is_decoded_whole():
    parts = [{"service": "desk", "weight": 90}, {"service": "panel", "weight": 10}]
    table, findings = decode_config(
        config(12, [route("/a/", None, weightedClusters=parts), route("/b/")])
    )
    assert table.revision == 12
    assert findings == ()
    split, plain = table.routes
    assert split.parts == (("desk", 90), ("panel", 10))
    assert (plain.service, plain.timeout_ms, plain.idempotent) == ("desk", 1500, True)
    assert table.limits.idle_timeout_s == 15
    assert table.health_paths["desk"] == "/healthz"


# Guards against a limit that is not kept, or one where the operator has set none.
@pytest.mark.parametrize(
    "cold, limit",
    [
        (("3s", 7.5), ColdLimit(3.0, 7.5)),
        (("250ms", 2), ColdLimit(0.25, 2)),
        (("3s", 0), None),
        (("3s", None), None),
        (("0ms", 7.5), None),
        ((0, 7.5), None),
        ((None, 7.5), None),
        ((None, None), None),
    ],
)
def test_a_cold_limit_is_decoded_if_both_of_its_columns_are_set(cold, limit):
    table, findings = decode_config(config(1, [route("/a/")], cold=cold))
    assert findings == ()
    assert table.cold_limits.get("desk") == limit


# Guards against a document that is in force in part.
@pytest.mark.parametrize(
    "cold", [("soon", 7.5), (3, 7.5), ("3s", -1), ("3s", "7.5"), ("3s", True)]
)
def test_a_cold_limit_that_cannot_be_read_is_a_finding(cold):
    table, findings = decode_config(config(1, [route("/a/")], cold=cold))
    assert table is None
    assert str(findings[0]).endswith(findings[0].message)
    assert findings[0].section == "services, row 1"


@pytest.mark.parametrize("value", [b"", b"{}", b"[1]", b'{"version":"x"}', b"\xff"])
def test_what_is_no_configuration_is_a_finding(value):
    table, findings = decode_config(value)
    assert table is None
    assert len(findings) == 1


def test_all_rows_that_cannot_be_read_are_found_together():
    rows = [route("/a/", timeout="soon"), route("/b/"), route("/c/", priority="high")]
    table, findings = decode_config(config(1, rows), "row.json")
    assert table is None
    assert [item.section for item in findings] == ["routes, row 1", "routes, row 3"]
    assert all(str(item).startswith("row.json:1:1:") for item in findings)


ROW = st.builds(
    lambda prefix, timeout, parts: route(
        prefix,
        timeout=timeout,
        service=None if parts else "desk",
        weightedClusters=parts,
    ),
    st.sampled_from(["/a/", "/b/", "/c/"]),
    st.sampled_from(["100ms", "2s", "soon", None]),
    st.sampled_from([None, [{"service": "desk", "weight": 3}], [{"service": "x"}]]),
)


@given(st.lists(st.lists(ROW, max_size=4), max_size=4))
def test_what_was_decoded_before_changes_nothing_in_what_is_decoded_now(documents):
    known = KnownRoutes()
    for number, rows in enumerate(documents, 1):
        value = config(number, rows)
        table, findings = decode_config(value, known=known)
        plain, plain_findings = decode_config(value)
        assert table == plain
        assert list(map(str, findings)) == list(map(str, plain_findings))


def test_rows_under_other_columns_are_decoded_anew():
    known = KnownRoutes()
    first = json.loads(config(1, [route("/a/", service="desk")]))
    decode_config(json.dumps(first).encode(), known=known)
    columns = first["routes"]["columns"]
    host_index, service_index = columns.index("host"), columns.index("service")
    columns[host_index], columns[service_index] = (
        columns[service_index],
        columns[host_index],
    )
    table, _ = decode_config(json.dumps(first).encode(), known=known)
    assert (table.routes[0].host, table.routes[0].service) == ("desk", "app.example")


def test_an_announcement_is_decoded():
    announcement = decode_announcement("i-1", json.dumps(ANNOUNCEMENT).encode())
    assert (announcement.slots, announcement.warm_up_s, announcement.order) == (
        9,
        2.5,
        (1000, 4),
    )
    assert decode_born_ms(b'{"born": 5}') == 5
    assert decode_born_ms(b"") is None
    assert decode_born_ms(b"\xff{") is None


@pytest.mark.parametrize(
    "change",
    [
        {"state": "asleep"},
        {"sequence": "4"},
        {"sequence": True},
        {"service": 3},
        {"concurrency": None},
        {"born": 1.5},
        {"coldLeft": 3},
        {"version": ""},
    ],
)
def test_an_announcement_of_another_writer_is_refused(change):
    answer = decode_announcement("i-1", json.dumps({**ANNOUNCEMENT, **change}).encode())
    assert isinstance(answer, str)


def test_bytes_that_are_no_announcement_are_refused():
    for body in (b"", b"[]", b"\xff\xfe", b"[" * 5000):
        assert isinstance(decode_announcement("i-1", body), str)


def answer(status=200, **headers):
    named = {"x-attempt-id": "c", "x-server-seal": "s", **headers}
    pairs = [
        (name.replace("_", "-").encode(), value.encode())
        for name, value in named.items()
        if value
    ]
    return decode_upstream_outcome(status, tuple(pairs), b"body", "c")


def test_only_a_sealed_answer_of_the_same_call_is_a_success():
    assert isinstance(answer(), Answered)
    assert isinstance(answer(**{"x-server-seal": ""}), Unknown)
    assert isinstance(answer(**{"x-attempt-id": "d"}), Unknown)
    assert isinstance(answer(**{"x-attempt-id": ""}), Unknown)
    assert isinstance(answer(**{"content-encoding": "gzip"}), Unknown)
    assert answer(500) == Answered(
        500, (("x-attempt-id", "c"), ("x-server-seal", "s")), b"body"
    )


# Guards against passing on a status that HTTP does not have, and against believing a
# refusal in such a response.
@pytest.mark.parametrize("status", [0, 20, 99, 100, 101, 199, 600, 999])
def test_a_status_that_no_final_response_has_says_nothing_of_the_call(status):
    assert isinstance(answer(status), Unknown)
    assert isinstance(answer(status, **{"x-not-executed": "1"}), Unknown)


def test_not_run_is_said_only_where_the_upstream_says_so():
    assert isinstance(answer(503, **{"x-not-executed": "1"}), NotRun)
    assert isinstance(answer(421), NotRun)
    assert isinstance(answer(503), Answered)
    for foreign_id in ("d", ""):
        headers = {"x-not-executed": "1", "x-attempt-id": foreign_id}
        assert isinstance(answer(503, **headers), Unknown)
        assert isinstance(answer(421, **headers), Unknown)


@pytest.mark.parametrize(
    ("text", "retry_after_s"),
    [("2", 2.0), ("0.25", 0.25), ("soon", 0.0), ("-1", 0.0), ("9999", 30.0)],
)
def test_the_time_to_come_back_is_the_one_that_the_upstream_names(text, retry_after_s):
    refusal = answer(503, **{"x-not-executed": "1", "retry-after": text})
    assert refusal.retry_after_s == retry_after_s


@pytest.mark.parametrize(
    ("values", "signals"),
    [
        ([], UpstreamSignals()),
        (["12.5"], UpstreamSignals(12.5)),
        ([" 3 "], UpstreamSignals(3.0)),
        ([".5"], UpstreamSignals(0.5)),
        (["0"], UpstreamSignals(0.0)),
        (["-1"], UpstreamSignals(invalid_limit="-1")),
        (["1, 2"], UpstreamSignals(invalid_limit="1, 2")),
        (["4", "4"], UpstreamSignals(invalid_limit="4, 4")),
        (["9" * 5000], UpstreamSignals(invalid_limit="9" * 32)),
        ([""], UpstreamSignals(invalid_limit="(empty)")),
    ],
)
def test_a_rate_limit_is_one_decimal_number(values, signals):
    headers = tuple((b"Server-Limit", value.encode()) for value in values)
    assert decode_upstream_signals(200, headers) == signals
    leaving = (*headers, (b"Server-Leaving", b"1"))
    assert decode_upstream_signals(200, leaving) == attrs.evolve(signals, leaving=True)
    assert not decode_upstream_signals(200, ((b"Server-Leaving", b"0"),)).leaving


def test_headers_of_one_connection_stay_there():
    headers = [
        (b"Host", b"app"),
        (b"Connection", b"keep-alive, X-Mine"),
        (b"X-Mine", b"1"),
        (b"X-Caller-Service", b"forged"),
        (b"X-Request-Deadline", b"5"),
        (b"X-Attempt-Id", b"c"),
        (b"Cookie", b"a=b"),
    ]
    kept = dict(forwarded_headers(headers))
    assert kept == {b"Host": b"app", b"X-Attempt-Id": b"c", b"Cookie": b"a=b"}


def test_orders_and_verdicts():
    value = b'{"service":"desk","to":"v2","duration":"12s"}'
    order = decode_order(StoredRow("op", "rollout/desk", value, 7))
    assert (order.to_version, order.duration_s, order.number) == ("v2", 12.0, 7)
    assert decode_order(StoredRow("op", "config", value, 7)) is None
    assert decode_order(StoredRow("op", "rollout/desk", b"{", 7)) is None
    states = [MoveState.STEPPING, MoveState.DONE, MoveState.REVERTED]
    words = [json.loads(encode_status(state, "v2"))["state"] for state in states]
    assert words == ["running", "completed", "rolled_back"]


# Guards against an evacuation that depends on the value of its row, and against a row
# whose key holds no name of a zone.
@pytest.mark.parametrize(
    "key, deleted, expected",
    [
        ("evacuate/b", False, Evacuation("b", 7, True)),
        ("evacuate/b", True, Evacuation("b", 7, False)),
        ("evacuate/", False, None),
        ("evacuate/b\n", False, None),
        ("evacuate/" + "b" * 200, False, None),
        ("rollout/b", False, None),
    ],
)
def test_an_evacuation_is_decoded_from_its_key(key, deleted, expected):
    row = StoredRow("op", key, b"\xff", 7, deleted=deleted)
    assert decode_evacuation(row) == expected


# Guards against a cold upstream that is taken for a warm one since its header is odd.
@pytest.mark.parametrize(
    "values, left_s",
    [
        ([], None),
        ([b"1500"], 1.5),
        ([b" 0 "], 0.0),
        ([b"-1"], None),
        ([b"1e3"], None),
        ([b"nan"], None),
        ([b"9" * 400], None),
        ([b"1", b"2"], None),
    ],
)
def test_the_time_that_an_upstream_stays_cold_is_one_decimal_number(values, left_s):
    assert decode_cold_left_s(tuple((b"X-Cold-Ms", text) for text in values)) == left_s


def test_times():
    assert parse_seconds("1500ms") == 1.5
    assert parse_seconds("2.5s") == 2.5
    for text in ("", "5", "5m", "-1s", None, 5):
        with pytest.raises(
            ValueError, match=r"must be a duration like 1500ms or 2\.5s, not"
        ):
            parse_seconds(text)


any_text = st.text(st.characters(exclude_categories=()), max_size=40)
odd_text = any_text | st.sampled_from(
    ["v\ud83d", "v1\r\nX-Odd: 1", "v\x00", "v" * 15_000]
)


@given(
    odd_text,
    st.fixed_dictionaries(
        {name: odd_text | st.just("v1") for name in ("service", "zone", "version")}
    ),
    st.booleans(),
)
def test_an_announcement_that_is_accepted_can_be_passed_on(instance, texts, ascii):
    body = json.dumps({**ANNOUNCEMENT, **texts}, ensure_ascii=ascii)
    announcement = decode_announcement(instance, body.encode("utf-8", "surrogatepass"))
    if isinstance(announcement, str):
        return
    upstream = UpstreamInfo(
        announcement.service,
        announcement.version,
        announcement.address,
        announcement.slots,
        instance=announcement.instance,
        born_ms=announcement.born_ms,
    )
    member = Member("10.0.0.9:7400", announcement.zone, 5, 1, upstreams=(upstream,))
    assert (
        decode_member(msgpack.unpackb(msgpack.packb(encode_member(member)))) == member
    )
    call = Call(
        "c1", "GET", "/", (), b"", "r", announcement.service, announcement.version,
        announcement.instance, announcement.service, True, 1, 5.0, 5.0,
    )  # fmt: skip
    headers = upstream_headers(call, 10)
    head = render_head("GET", "/", headers, b"")
    assert len(head.splitlines()) == 2 + len(headers)
    assert b"\0" not in head


@given(odd_text, odd_text)
def test_an_order_that_is_accepted_can_be_written_by_its_mover(service, to_version):
    value = json.dumps({"service": service, "to": to_version, "duration": "5s"})
    order = decode_order(StoredRow("op", "rollout/desk", value.encode(), 3))
    if order is None:
        return
    record = MoveRecord(order.service, order.to_version, 3, MoveState.DONE, "good")
    assert decode_move(msgpack.unpackb(msgpack.packb(encode_move(record)))) == record
    assert encode_status(MoveState.DONE, order.to_version)
    for key in (
        f"{MOVE_PREFIX}{order.service}/{order.to_version}",
        status_key(order.service),
    ):
        assert len(key.encode()) <= MAX_KEY_BYTES


@pytest.mark.parametrize(
    ("column", "text"),
    [
        *((column, "r\ud83d") for column in ("name", "service", "prefix", "host")),
        ("service", "r\x00\r\n"),
        ("weightedClusters", [{"service": "r\r\n", "weight": 1}]),
    ],
)
def test_a_route_with_a_text_that_cannot_be_passed_on_is_refused(column, text):
    row = route(**{column: text})
    table, findings = decode_config(config(3, [row]))
    assert table is None
    assert findings
