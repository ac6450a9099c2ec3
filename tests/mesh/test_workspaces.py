"""Callers with and without keys at running nodes."""

import asyncio
import json

import attrs
import msgpack
import pytest

from agaterelay.core.deployment import StoreSettings
from agaterelay.events import EventKind
from agaterelay.mesh import links
from standins.instance import announce
from standins.store import put_row
from tests.mesh.fleet import (
    add_host,
    admin_address,
    config,
    free_address,
    record_events,
    restart_node,
    route,
    running_fleet,
    send_request,
    wait_until,
)

ACME_KEY, ZEN_KEY = "SECRET-acme", "SECRET-zen"
ACME = ["acme", [ACME_KEY], 0, 50, 50]
ZEN = ["zen", [ZEN_KEY], None, None, None]


def document(version, rows):
    """Return a configuration with a public route, and workspaces unless None."""
    tree = json.loads(config(version, []))
    tree["routes"]["columns"].append("public")
    tree["routes"]["rows"] = [
        [*route("/read/"), None],
        [*route("/open/", priority=3), True],
    ]
    if rows is not None:
        columns = ["name", "apiKeys", "priority", "ratePerS", "burst"]
        tree["tenants"] = {"columns": columns, "rows": rows}
    return json.dumps(tree).encode()


async def configure(fleet, version, rows):
    """Write a configuration, and wait until it is in force on all nodes."""
    await put_row(fleet.store, "op", "config", document(version, rows))
    await wait_until(
        lambda: all(item.node.state.table.revision == version for item in fleet.hosts)
    )


def last_head(fleet):
    """Return the head of the last call that any instance ran, names in lower case."""
    heads = [item.instance.heads for item in fleet.hosts if item.instance.heads]
    (head,) = [found[-1] for found in heads]
    return {name.lower(): value for name, value in head.items()}


async def send_raw(host, *lines, path="/read/x"):
    """Send a request with header lines as they are; return the answer's head."""
    address, port = host.deployment.calls_address.rsplit(":", 1)
    reader, writer = await asyncio.open_connection(address, int(port))
    head = [f"GET {path} HTTP/1.1", "Host: app.example", "X-Attempt-Id: r", *lines]
    writer.write("\r\n".join([*head, "", ""]).encode())
    answer = (await reader.readuntil(b"\r\n\r\n")).decode()
    writer.close()
    return answer


def one_upstream(scenario):
    """Run a scenario on two hosts, of which only the second has an upstream."""

    async def run():
        async with running_fleet(announced=False) as fleet:
            first, second = fleet.hosts
            assert await announce(second.instance, admin_address(second)) == 200
            await wait_until(lambda: first.node.state.table and is_served(first))
            await scenario(fleet, first)

    def is_served(host):
        members = host.node.state.members.values()
        return any(item.upstreams for item in members) and any(
            link.usable for link in host.node.links.links.values()
        )

    asyncio.run(run())


@pytest.mark.parametrize(
    ("path", "key", "status", "workspace"),
    [
        ("/read/x", None, 401, None),
        ("/read/x", "Token unknown", 401, None),
        ("/read/x", f"Basic {ACME_KEY}", 401, None),
        ("/read/x", f"Token {ACME_KEY}", 200, "acme"),
        ("/open/x", f"Token {ZEN_KEY}", 200, "zen"),
        ("/open/x", None, 200, None),
        ("/open/x", "Token unknown", 200, None),
        ("/none/x", None, 404, None),
    ],
)
def test_a_caller_is_served_for_its_workspace_only(
    path, key, status, workspace, monkeypatch
):
    """Guards against calls without a key, forged names, and keys that leave the node."""
    sent = []
    encode_call = links.encode_call

    def keep(call, now_s):
        sent.append(msgpack.packb(encode_call(call, now_s)))
        return encode_call(call, now_s)

    monkeypatch.setattr(links, "encode_call", keep)

    async def scenario(fleet, host):
        await configure(fleet, 2, [ACME, ZEN])
        events = record_events(host, set(EventKind))
        headers = {"x-tenant": "forged"} | ({"Authorization": key} if key else {})
        found, answer, body = await send_request(fleet, host, path, headers=headers)
        assert found == status
        assert b"SECRET" not in body
        challenge = "Token" if status == 401 else None
        assert answer.get("WWW-Authenticate") == challenge
        assert "SECRET" not in str(events)
        assert len(sent) == (status == 200)
        assert not any(b"SECRET" in item or b"forged" in item for item in sent)
        if status == 200:
            head = last_head(fleet)
            assert "authorization" not in head
            assert head.get("x-tenant") == workspace
        elif status == 401:
            (refused,) = [
                fields for kind, fields in events if kind is EventKind.REQUEST_REFUSED
            ]
            assert refused["reason"].startswith("status 401: ")

    one_upstream(scenario)


def test_malformed_credentials_are_refused_and_a_listed_one_still_counts():
    """Guards against a choice between two keys, and a key hidden by Connection."""

    async def scenario(fleet, host):
        await configure(fleet, 2, [ACME])
        key = f"Authorization: Token {ACME_KEY}"
        for lines in ([key, key], [f"{key}\t1"], ["Authorization: Token"], [key + "x"]):
            answer = await send_raw(host, *lines)
            assert answer.startswith("HTTP/1.1 401 ")
        listed = [key, "Connection: Authorization, X-Tenant, close"]
        assert (await send_raw(host, *listed)).startswith("HTTP/1.1 200 ")
        assert last_head(fleet)["x-tenant"] == "acme"
        metrics = host.node.meters.render().decode()
        assert "agaterelay_requests_unidentified_total" in metrics
        assert "SECRET" not in metrics

    one_upstream(scenario)


def test_keys_come_and_go_with_configurations():
    """Guards against keys that outlive their configuration, and against lost headers."""

    async def scenario(fleet, host):
        events = record_events(host, {EventKind.WORKSPACES_CHANGED})

        async def ask(key):
            headers = {"authorization": f"Token {key}", "x-tenant": "own"}
            return (await send_request(fleet, host, headers=headers))[0]

        assert await ask(ACME_KEY) == 200
        assert last_head(fleet)["authorization"] == f"Token {ACME_KEY}"
        assert last_head(fleet)["x-tenant"] == "own"
        await configure(fleet, 2, [ACME, ZEN])
        assert [await ask(ACME_KEY), await ask(ZEN_KEY)] == [200, 200]
        await configure(fleet, 3, [["acme", [], 0, 50, 50], ZEN])
        assert [await ask(ACME_KEY), await ask(ZEN_KEY)] == [401, 200]
        await configure(fleet, 4, [])
        assert await ask(ZEN_KEY) == 401
        await configure(fleet, 5, None)
        assert await ask("anything") == 200
        changes = [
            (item["keys_needed"], item["workspaces"], item["keys"])
            for _, item in events
        ]
        assert changes == [(True, 2, 2), (True, 2, 1), (True, 0, 0), (False, 0, 0)]

    one_upstream(scenario)


def test_a_host_that_cannot_read_the_store_learns_keys_over_links():
    """Guards against keys that stay valid on hosts that are cut from the store."""

    async def scenario(fleet, host):
        await configure(fleet, 2, [ACME, ZEN])
        nobody = StoreSettings(free_address())
        host.deployment = attrs.evolve(host.deployment, store=nobody)
        await restart_node(host)
        await wait_until(lambda: host.node.state.table is not None)
        await wait_until(lambda: host.node.state.members)

        async def ask(key):
            headers = {"Authorization": f"Token {key}"}
            return (await send_request(fleet, host, headers=headers))[0]

        assert await ask(ACME_KEY) == 200
        await configure(fleet, 3, [["acme", [], 0, 50, 50], ZEN])
        assert [await ask(ACME_KEY), await ask(ZEN_KEY)] == [401, 200]
        assert not host.node.state.store_up

    one_upstream(scenario)


def test_a_workspace_takes_precedence_over_the_rank_of_a_route(monkeypatch):
    """Guards against urgent workspaces that queue by their route."""
    ranks = []
    encode_call = links.encode_call
    monkeypatch.setattr(
        links,
        "encode_call",
        lambda call, now_s: ranks.append(call.rank) or encode_call(call, now_s),
    )

    async def scenario(fleet, host):
        await configure(fleet, 2, [ACME, ZEN])
        for key in (ACME_KEY, ZEN_KEY, "unknown"):
            headers = {"Authorization": f"Token {key}"}
            await send_request(fleet, host, "/open/x", headers=headers)
        assert ranks == [0, 3, 3]

    one_upstream(scenario)


def test_before_a_configuration_is_known_the_answer_is_no_judgement_on_a_key():
    """Guards against callers that drop a valid key after a restart."""

    async def scenario():
        async with running_fleet((), announced=False) as fleet:
            # A table that a test takes from a node comes back with its next read.
            del fleet.store.rows["op", "", "config"]
            host = await add_host(fleet, "desk")
            status, answer, _ = await send_request(fleet, host)
            assert status == 503
            assert "Retry-After" in answer

    asyncio.run(scenario())
