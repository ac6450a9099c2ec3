"""A revision is served completely or not at all, in whatever order its parts arrive."""

import asyncio
import random

import attrs
from hypothesis import given, settings
from hypothesis.strategies import integers

from agaterelay.core.manifest import digest_of, encode_manifest
from agaterelay.core.model import Head, Manifest, SectionRef
from agaterelay.events import EventKind
from agaterelay.tasks import fetcher
from agaterelay.tasks.board import RevisionNotification
from agaterelay.tasks.keeper import (
    activate_staged,
    handle_notification,
    load_newest_candidate,
    set_floor,
)
from tests.tasks.fakes import START, Fleet

STEPS = 60
SERVICES = "section: services\nowner: admin\nservices:\n"
ROUTES = "section: routes\nowner: admin\nroutes:\n"
DEFECTS = ("", "", "unresolved", "syntax", "truncated", "digest", "revision")


def write_document(number, defect):
    """Return the bodies of a revision in which routes and services change together."""
    names = [f"service-{number}", f"service-{number + 1}"]
    services = SERVICES + "".join(
        f"  - name: {name}\n    version: v1\n" for name in names
    )
    target = "service-0" if defect == "unresolved" else names[number % 2]
    routes = ROUTES + (
        f"  - name: route-{number}\n    path: /{number}\n    service: {target}\n"
    )
    if defect == "syntax":
        routes = routes.replace("path:", "paht:")
    return {"services": services.encode(), "routes": routes.encode()}


class Model:
    """A host that is notified of revisions, and the available parts of them."""

    def __init__(self, rng):
        self.loop = asyncio.new_event_loop()
        self.rng = rng
        self.fleet = Fleet({"a": "z1", "b": "z1"})
        self.host = self.fleet.hosts["a"]
        self.parts = []
        self.heads = []
        self.valid_texts = {}
        self.defects = {}
        self.seen_active = 0

    def run(self, work):
        return self.loop.run_until_complete(work)

    def commit(self):
        number = len(self.heads) + 1
        defect = self.rng.choice(DEFECTS)
        bodies = write_document(number, defect)
        references = tuple(
            SectionRef(name, "admin", digest_of(body)) for name, body in bodies.items()
        )
        revision = number + 1 if defect == "revision" else number
        manifest = encode_manifest(Manifest(revision, START, references))
        digest = digest_of(manifest)
        parts = {digest: manifest}
        parts |= {digest_of(body): body for body in bodies.values()}
        if defect in ("truncated", "digest"):
            name = self.rng.choice(sorted(parts))
            broken = parts[name][:-3] if defect == "truncated" else parts[name] + b"#"
            parts[name] = broken
        self.parts.append(parts)
        self.heads.append(Head(number, digest))
        self.defects[number] = defect
        if not defect:
            self.valid_texts[number] = {body.decode() for body in bodies.values()}

    def step(self):
        rng, keeper = self.rng, self.host.keeper
        stores = (
            self.fleet.platform.bodies,
            self.fleet.hosts["b"].keeper.bodies.by_digest,
        )
        action = rng.randrange(6)
        if not self.heads or rng.random() < 0.1:
            self.commit()
        elif action <= 1:
            parts = rng.choice(self.parts[-2:])
            most = rng.choice((1, len(parts), len(parts)))
            for name in rng.sample(sorted(parts), most):
                from_peer = rng.random() < 0.5
                key = name if from_peer else f"bodies/{name}"
                stores[from_peer][key] = parts[name]
        elif action == 2:
            source = rng.choice(("", "b"))
            handle_notification(
                keeper, RevisionNotification(rng.choice(self.heads[-2:]), source)
            )
        elif action == 3:
            self.run(load_newest_candidate(keeper))
        elif action == 4:
            set_floor(keeper, rng.randrange(len(self.heads)))
        else:
            self.run(activate_staged(keeper))

    def check(self):
        active = self.host.board.active
        assert len(self.host.keeper.bodies.by_digest) <= 8
        if active is None:
            return
        assert active.revision in self.valid_texts, self.defects[active.revision]
        assert {part.text for part in active.sections} == self.valid_texts[
            active.revision
        ]
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


def load_revision(texts):
    """Load revision 1 with these section texts on a host; return its fleet."""
    fleet = Fleet({"a": "z1"})
    bodies = {name: text.encode() for name, text in texts.items()}
    references = tuple(
        SectionRef(name, "admin", digest_of(body)) for name, body in bodies.items()
    )
    manifest = encode_manifest(Manifest(1, START, references))
    for body in (manifest, *bodies.values()):
        fleet.platform.bodies[f"bodies/{digest_of(body)}"] = body
    keeper = fleet.hosts["a"].keeper
    set_floor(keeper, 0)
    handle_notification(keeper, RevisionNotification(Head(1, digest_of(manifest))))
    assert asyncio.run(load_newest_candidate(keeper))
    return fleet


def test_all_findings_of_a_bad_revision_are_reported_together_with_their_places():
    services = SERVICES + "  - name: x\n    verzion: v1\n"
    routes = ROUTES + "  - name: r\n    path: nowhere\n    service: x\n"
    fleet = load_revision({"services": services, "routes": routes, "good": "section: good\n"
                     "owner: admin\n"})  # fmt: skip
    assert fleet.hosts["a"].keeper.line.held_revision == 0
    ((_, _, fields),) = [
        event for event in fleet.events if event[1] is EventKind.REVISION_REFUSED
    ]
    text = "\n".join(fields["findings"])
    assert "services:5:" in text
    assert "routes:5:" in text


def test_a_host_requests_only_missing_parts():
    fleet = Fleet({"a": "z1"})
    keeper = fleet.hosts["a"].keeper
    set_floor(keeper, 0)
    requested = []
    get = fleet.platform.get

    class CountingObjects:
        async def get(self, name):
            requested.append(name)
            return await get(name)

    keeper.node_context = attrs.evolve(keeper.node_context, objects=CountingObjects())
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
        requested.clear()
        handle_notification(
            keeper, RevisionNotification(Head(revision, digest_of(manifest)))
        )
        assert asyncio.run(load_newest_candidate(keeper))
    assert keeper.line.held_revision == 2
    assert len(requested) == 2


def test_a_large_revision_is_served_in_replies_of_bounded_size():
    bodies = fetcher.Bodies({f"d{n}": bytes(600_000) for n in range(4)})
    digests = tuple(bodies.by_digest)
    first = fetcher.handle_fetch(bodies, digests, now_s=0.0)
    assert sum(map(len, first.bodies.values())) <= fetcher.MAX_REPLY_BYTES
    answers = [fetcher.handle_fetch(bodies, digests, now_s=0.0) for _ in range(20)]
    assert any(answer.retry_after_s > 0 for answer in answers)
    later = fetcher.handle_fetch(bodies, digests, now_s=10.0)
    assert later.bodies
