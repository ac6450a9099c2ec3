"""An entry of another writer that names nothing usable costs that entry alone."""

import asyncio
import base64
import contextlib
import json

import msgpack
import pytest
from hypothesis import given, strategies as st

from agaterelay.adapters.frames import Frame
from agaterelay.core.checked import DecodeError
from agaterelay.core.membership import Member, UpstreamInfo
from agaterelay.events import EventKind
from agaterelay.mesh.wire import (
    decode_call,
    decode_member,
    decode_move,
    decode_order,
    decode_result,
    decode_tallies,
    encode_member,
)
from agaterelay.platform import announcements, config, orders
from agaterelay.ports import StoredRow
from standins.instance import announce
from standins.store import put_row
from tests.mesh.fleet import (
    ROUTES,
    admin_address,
    config as make_config,
    record_events,
    running_fleet,
    wait_until,
)

HOST = "10.0.0.9:7400"
UPSTREAM = UpstreamInfo("desk", "v1", "10.0.0.9:80", 4, 0, False, "i-9", 1000)
MEMBER = encode_member(Member(HOST, "a", 5, 1, upstreams=(UPSTREAM,), link_mbps=10))
DEEP_JSON = b"[" * 100_000
DEEP_MSGPACK = b"\x91" * 100_000


def with_item(position, value):
    changed = list(MEMBER)
    changed[position] = value
    return changed


def with_upstream_item(position, value):
    upstream = list(MEMBER[5][0])
    upstream[position] = value
    return with_item(5, [upstream])


ODD_MEMBERS = [
    with_item(0, ["10.0.0.9", 7400]),
    with_item(0, "10.0.0.9:99999"),
    with_item(0, "10.0.0.9:-1"),
    with_item(0, "10.0.0.9"),
    with_item(1, None),
    with_item(2, float("inf")),
    with_item(2, float("nan")),
    with_item(2, 2**64 - 1),
    with_item(2, -5),
    with_item(2, "5"),
    with_item(3, -(2**63)),
    with_item(4, 17),
    with_item(5, 7),
    with_item(5, [[[]] * 8]),
    with_item(6, float("-inf")),
    with_item(6, -1),
    with_upstream_item(3, -4),
    with_upstream_item(5, "yes"),
    with_upstream_item(6, [1]),
    with_upstream_item(7, 2**63),
    [],
    None,
    "member",
    {},
    MEMBER[:3],
]


@pytest.mark.parametrize("encoded", ODD_MEMBERS)
def test_an_odd_member_record_is_refused(encoded):
    with pytest.raises(DecodeError):
        decode_member(encoded)


def test_a_member_record_with_later_fields_of_another_version_is_accepted():
    assert decode_member([*MEMBER, "later", {}]) == decode_member(MEMBER)


values = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**63), 2**64 - 1)
    | st.floats()
    | st.text(max_size=8)
    | st.binary(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=9)
        | st.dictionaries(st.text(max_size=8), inner, max_size=4)
    ),
    max_leaves=12,
)


@given(values)
def test_decoders_of_messages_raise_nothing_but_their_declared_error(encoded):
    decoders = [decode_member, decode_move, decode_order, decode_result, decode_tallies]
    for decode in [*decoders, lambda item: decode_call(item, 1.0)]:
        with contextlib.suppress(DecodeError):
            decode(encoded)


@given(st.integers(0, len(MEMBER) - 1), values)
def test_a_member_record_with_one_odd_field_is_refused_or_can_be_passed_on(
    position, value
):
    try:
        member = decode_member(with_item(position, value))
    except DecodeError:
        return
    assert decode_member(msgpack.unpackb(msgpack.packb(encode_member(member))))
    host, port = member.host.rsplit(":", 1)
    assert host and 0 < int(port) < 65_536


@given(st.sampled_from(["version", "routes", "services", "limits"]), values)
def test_a_document_with_one_odd_part_is_refused_or_decoded(name, value):
    tree = json.loads(make_config(3, ROUTES))
    tree[name] = value
    document = json.dumps(tree, default=repr).encode()
    table, findings = config.decode_config(document)
    assert (table is None) == bool(findings)


@pytest.mark.parametrize("number", ["1e999", "NaN", "-1", "1" * 5000, "9" * 400])
@pytest.mark.parametrize("name", ["priority", "maxAttempts", "timeout"])
def test_a_route_with_an_impossible_number_makes_the_document_invalid(name, number):
    tree = json.loads(make_config(3, ROUTES))
    position = tree["routes"]["columns"].index(name)
    tree["routes"]["rows"][0][position] = "HERE"
    text = number if name != "timeout" else f'"{number}s"'
    document = json.dumps(tree).replace('"HERE"', text).encode()
    table, findings = config.decode_config(document)
    assert table is None
    assert findings


def test_deeply_nested_documents_are_refused():
    assert config.decode_config(DEEP_JSON)[0] is None
    row = StoredRow("op", "rollout/desk", DEEP_JSON, 3)
    assert orders.decode_order(row) is None
    assert announcements.decode_born_ms(DEEP_JSON) is None


@pytest.mark.parametrize("duration", ["9" * 400 + "s", 5, None])
def test_an_order_with_an_impossible_duration_is_refused(duration):
    value = json.dumps({"service": "desk", "to": "v2", "duration": duration}).encode()
    assert orders.decode_order(StoredRow("op", "rollout/desk", value, 3)) is None


@pytest.mark.parametrize(
    "changes",
    [
        {"born": 10**30},
        {"sequence": 10**30},
        {"concurrency": 10**30},
        {"coldLeft": "9" * 400 + "s"},
        {"address": "10.0.0.9:99999"},
        {"address": "10.0.0.9"},
    ],
)
def test_an_announcement_with_an_impossible_value_is_refused(changes):
    fields = {
        "service": "desk",
        "address": "10.0.0.9:80",
        "zone": "a",
        "version": "v1",
        "concurrency": 4,
        "state": "ready",
        "coldLeft": "0ms",
        "sequence": 1,
        "born": 1000,
    }
    assert not isinstance(
        announcements.decode_announcement("i-9", json.dumps(fields).encode()), str
    )
    body = json.dumps({**fields, **changes}).encode()
    assert isinstance(announcements.decode_announcement("i-9", body), str)


def test_odd_rows_among_those_of_the_hosts_cost_one_log_line_each():
    rows = {f"member/10.9.0.{n}:7400": msgpack.packb(item) for n, item in odd_rows()}
    rows["member/10.9.1.1:7400"] = DEEP_MSGPACK
    rows["member/10.9.1.2:7400"] = msgpack.packb(with_item(0, HOST))
    rows["move/desk/v2"] = msgpack.packb(["desk", "v2", float("inf"), "done", ""])

    async def scenario():
        async with running_fleet(("desk", "desk")) as fleet:
            kinds = {EventKind.TASK_FAILED, EventKind.REVISION_REFUSED}
            found = [record_events(host, kinds) for host in fleet.hosts]
            for key, value in rows.items():
                await put_row(fleet.store, "agaterelay", key, value)
            first, second = fleet.hosts
            second.instance.version = "v2"
            second.instance.born_ms += 1
            await announce(second.instance, admin_address(second))
            address = second.deployment.link_address
            await wait_until(
                lambda: first.node.state.members[address].upstreams[0].version == "v2"
            )
            await wait_until(lambda: all(len(events) >= len(rows) for events in found))
            await asyncio.sleep(1.5)
            assert [len(events) for events in found] == [len(rows)] * 2
            assert not any(
                kind is EventKind.TASK_FAILED for events in found for kind, _ in events
            )
            assert set(first.node.state.members) == {address}

    asyncio.run(scenario())


def odd_rows():
    return enumerate(item for item in ODD_MEMBERS if item not in (None, "member", {}))


@pytest.mark.parametrize(
    "frame",
    [
        [Frame.NEWS, HOST, 3, [with_item(2, float("inf"))], [], [], [], False],
        [Frame.NEWS, HOST, "3", [], [], [], [], False],
        [Frame.HELLO, HOST],
        [Frame.CANCEL],
        [Frame.TABLE, b"not compressed"],
        [Frame.TABLE_DELTA, 1, "steps", []],
        [Frame.WANT_MEMBERS, None],
        [Frame.ASK_TALLIES, 1, "long"],
        [9999, {}],
        [],
        7,
    ],
)
def test_an_odd_frame_of_another_node_does_not_end_the_link(frame):
    async def scenario():
        async with running_fleet(("desk", "desk")) as fleet:
            first, second = fleet.hosts
            link = first.node.links.links[second.deployment.link_address]
            connection = link.connection
            connection.send(frame)
            answered_s = link.last_received_s
            await wait_until(lambda: link.last_received_s > answered_s)
            assert link.connection is connection
            assert link.usable

    asyncio.run(scenario())


def test_a_call_that_cannot_be_read_is_answered_as_not_run():
    async def scenario():
        async with running_fleet(("desk", "desk")) as fleet:
            first, second = fleet.hosts
            link = first.node.links.links[second.deployment.link_address]
            future = asyncio.get_running_loop().create_future()
            link.pending[10**6] = future
            link.connection.send([Frame.CALL, 10**6, ["only an id"], 1])
            result = await asyncio.wait_for(future, 2.0)
            assert not result.reached_upstream

    asyncio.run(scenario())


def test_the_store_is_followed_on_after_an_answer_that_is_no_object(monkeypatch):
    async def scenario():
        async with running_fleet(("desk",)) as fleet:
            host = fleet.hosts[0]
            found = record_events(host, {EventKind.TASK_FAILED})
            call = host.store._call
            odd = [[], None, {"rows": [[]], "ver": "x"}, {"rows": 5, "ver": 1e400}]

            async def answer(*values, **options):
                status, encoded = await call(*values, **options)
                return status, (odd.pop() if odd else encoded)

            host.store._call = answer
            await put_row(fleet.store, "op", "wake", b"")
            await wait_until(lambda: not odd, 8.0)
            await put_row(fleet.store, "op", "config", make_config(9, ROUTES))
            await wait_until(lambda: host.node.state.table.revision == 9)
            assert found == []

    asyncio.run(scenario())


def test_the_own_row_that_another_writer_made_odd_is_written_again():
    async def scenario():
        async with running_fleet(("desk", "desk")) as fleet:
            host = fleet.hosts[0]
            found = record_events(host, {EventKind.TASK_FAILED})
            address = host.deployment.link_address
            own = list(encode_member(host.node.state.own))
            own[2] = 2**64 - 1
            key = f"member/{address}"
            await put_row(fleet.store, "agaterelay", key, msgpack.packb(own))
            await wait_until(
                lambda: (
                    decode_stored(fleet, key)[:2] == [address, host.deployment.zone]
                    and decode_stored(fleet, key)[2] < 2**63
                )
            )
            assert found == []

    asyncio.run(scenario())


def decode_stored(fleet, key):
    row = fleet.store.rows["agaterelay", "", key]
    return msgpack.unpackb(base64.b64decode(row["value"]))
