"""Revisions are served whole or not at all, over any interleaving of their parts."""

import asyncio
import random

import attrs
from hypothesis import given, settings
from hypothesis.strategies import integers

from agaterelay.core.manifest import digest_of, encode_manifest
from agaterelay.core.model import Head, Manifest, SectionRef
from agaterelay.events import EventKind
from agaterelay.tasks import fetcher
from agaterelay.tasks.board import Seen
from agaterelay.tasks.keeper import activate_staged, post, set_floor, take_in_newest
from tests.tasks.fakes import START, Fleet

STEPS = 60
SERVICES = "section: services\nowner: admin\nservices:\n"
ROUTES = "section: routes\nowner: admin\nroutes:\n"
FLAWS = ("", "", "unresolved", "syntax", "truncated", "digest", "revision")


def write_document(number, flaw):
    """Return the bodies of a revision: routes and services change together."""
    names = [f"service-{number}", f"service-{number + 1}"]
    services = SERVICES + "".join(
        f"  - name: {name}\n    version: v1\n" for name in names
    )
    target = "service-0" if flaw == "unresolved" else names[number % 2]
    routes = ROUTES + (
        f"  - name: route-{number}\n    path: /{number}\n    service: {target}\n"
    )
    if flaw == "syntax":
        routes = routes.replace("path:", "paht:")
    return {"services": services.encode(), "routes": routes.encode()}


class Model:
    """One host that hears of revisions, and the parts that it can have of them."""

    def __init__(self, chance):
        self.loop = asyncio.new_event_loop()
        self.chance = chance
        self.fleet = Fleet({"a": "z1", "b": "z1"})
        self.host = self.fleet.hosts["a"]
        self.parts = []
        self.heads = []
        self.good = {}
        self.flaws = {}
        self.seen_active = 0

    def run(self, work):
        return self.loop.run_until_complete(work)

    def commit(self):
        number = len(self.heads) + 1
        flaw = self.chance.choice(FLAWS)
        bodies = write_document(number, flaw)
        references = tuple(
            SectionRef(name, "admin", digest_of(body)) for name, body in bodies.items()
        )
        revision = number + 1 if flaw == "revision" else number
        manifest = encode_manifest(Manifest(revision, START, references))
        digest = digest_of(manifest)
        parts = {digest: manifest}
        parts |= {digest_of(body): body for body in bodies.values()}
        if flaw in ("truncated", "digest"):
            name = self.chance.choice(sorted(parts))
            broken = parts[name][:-3] if flaw == "truncated" else parts[name] + b"#"
            parts[name] = broken
        self.parts.append(parts)
        self.heads.append(Head(number, digest))
        self.flaws[number] = flaw
        if not flaw:
            self.good[number] = {body.decode() for body in bodies.values()}

    def step(self):
        chance, keeper = self.chance, self.host.keeper
        stores = (
            self.fleet.platform.bodies,
            self.fleet.hosts["b"].keeper.bodies.by_digest,
        )
        action = chance.randrange(6)
        if not self.heads or chance.random() < 0.1:
            self.commit()
        elif action <= 1:
            parts = chance.choice(self.parts[-2:])
            most = chance.choice((1, len(parts), len(parts)))
            for name in chance.sample(sorted(parts), most):
                from_peer = chance.random() < 0.5
                key = name if from_peer else f"bodies/{name}"
                stores[from_peer][key] = parts[name]
        elif action == 2:
            source = chance.choice(("", "b"))
            post(keeper, Seen(chance.choice(self.heads[-2:]), source))
        elif action == 3:
            self.run(take_in_newest(keeper))
        elif action == 4:
            set_floor(keeper, chance.randrange(len(self.heads)))
        else:
            self.run(activate_staged(keeper))

    def check(self):
        active = self.host.board.active
        assert len(self.host.keeper.bodies.by_digest) <= 8
        if active is None:
            return
        assert active.revision in self.good, self.flaws[active.revision]
        assert {part.text for part in active.sections} == self.good[active.revision]
        assert all(route.service in active.services for route in active.routes)
        assert active.revision >= self.seen_active
        self.seen_active = active.revision

    def close(self):
        self.loop.run_until_complete(asyncio.sleep(0))
        self.loop.close()


@settings(derandomize=True, max_examples=300, deadline=None)
@given(seed=integers(0, 2**32))
def test_what_is_served_is_one_whole_valid_revision(seed):
    model = Model(random.Random(seed))
    try:
        for _ in range(STEPS):
            model.step()
            model.check()
    finally:
        model.close()


def take_in(flaw_texts):
    """Let a host take in revision 1 with these section texts; return the host."""
    fleet = Fleet({"a": "z1"})
    bodies = {name: text.encode() for name, text in flaw_texts.items()}
    references = tuple(
        SectionRef(name, "admin", digest_of(body)) for name, body in bodies.items()
    )
    manifest = encode_manifest(Manifest(1, START, references))
    for body in (manifest, *bodies.values()):
        fleet.platform.bodies[f"bodies/{digest_of(body)}"] = body
    keeper = fleet.hosts["a"].keeper
    set_floor(keeper, 0)
    post(keeper, Seen(Head(1, digest_of(manifest))))
    assert asyncio.run(take_in_newest(keeper))
    return fleet


def test_all_findings_of_a_bad_revision_are_reported_together_with_their_places():
    services = SERVICES + "  - name: x\n    verzion: v1\n"
    routes = ROUTES + "  - name: r\n    path: nowhere\n    service: x\n"
    fleet = take_in({"services": services, "routes": routes, "good": "section: good\n"
                     "owner: admin\n"})  # fmt: skip
    assert fleet.hosts["a"].keeper.line.held_revision == 0
    ((_, _, fields),) = [
        event for event in fleet.events if event[1] is EventKind.REVISION_REFUSED
    ]
    text = "\n".join(fields["findings"])
    assert "services:5:" in text
    assert "routes:5:" in text


def test_a_host_asks_only_for_the_parts_that_it_lacks():
    fleet = Fleet({"a": "z1"})
    keeper = fleet.hosts["a"].keeper
    set_floor(keeper, 0)
    asked = []
    get = fleet.platform.get

    class Counting:
        async def get(self, name):
            asked.append(name)
            return await get(name)

    keeper.world = attrs.evolve(keeper.world, objects=Counting())
    texts = {f"s{n}": f"section: s{n}\nowner: admin\n" for n in range(9)}
    for revision in (1, 2):
        texts["s3"] += f"# {revision}\n"
        bodies = {name: text.encode() for name, text in texts.items()}
        references = tuple(
            SectionRef(name, "admin", digest_of(body)) for name, body in bodies.items()
        )
        manifest = encode_manifest(Manifest(revision, START, references))
        for body in (manifest, *bodies.values()):
            fleet.platform.bodies[f"bodies/{digest_of(body)}"] = body
        asked.clear()
        post(keeper, Seen(Head(revision, digest_of(manifest))))
        assert asyncio.run(take_in_newest(keeper))
    assert keeper.line.held_revision == 2
    assert len(asked) == 2


def test_a_large_revision_is_handed_out_in_replies_of_bounded_size():
    bodies = fetcher.Bodies({f"d{n}": bytes(600_000) for n in range(4)})
    digests = tuple(bodies.by_digest)
    first = fetcher.serve_fetch(bodies, digests, now_s=0.0)
    assert sum(map(len, first.bodies.values())) <= fetcher.MAX_REPLY_BYTES
    answers = [fetcher.serve_fetch(bodies, digests, now_s=0.0) for _ in range(20)]
    assert any(answer.retry_after_s > 0 for answer in answers)
    later = fetcher.serve_fetch(bodies, digests, now_s=10.0)
    assert later.bodies
