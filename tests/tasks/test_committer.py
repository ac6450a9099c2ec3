"""A change is committed at most once, and the operator learns the result."""

import asyncio
import hashlib
import random

import attrs
from hypothesis import given, settings
from hypothesis.strategies import integers

from agaterelay.core.commit import (
    Accepted,
    AlreadyCommitted,
    Change,
    Invalid,
    LostRace,
    body_of,
)
from agaterelay.core.manifest import decode_head, decode_manifest, digest_of
from agaterelay.core.parse import parse_document
from agaterelay.ports import CommitUnknownError, NotCommittedError, PlatformError
from agaterelay.tasks.committed import find_committed
from agaterelay.tasks.committer import Committer, commit_change
from agaterelay.tasks.reader import HEAD_ROW
from tests.tasks.fakes import FakePlatform, Fleet

KEY = "admin-key"
SECTION = """\
section: {name}
owner: admin
services:
  - name: {service}
    version: v{number}
"""


class FaultyPlatform(FakePlatform):
    """A platform that loses requests and answers, and applies some writes late."""

    def __init__(self, rng, fault_ratio):
        super().__init__()
        self.rng = rng
        self.fault_ratio = fault_ratio
        self.late_writes = []

    async def pause(self):
        for _ in range(self.rng.randint(0, 3)):
            await asyncio.sleep(0)
        if self.late_writes and self.rng.random() < 0.3:
            self.swap(*self.late_writes.pop(0))
        if self.rng.random() < self.fault_ratio:
            raise PlatformError("no answer")

    async def read(self, name):
        await self.pause()
        return await super().read(name)

    async def get(self, name):
        await self.pause()
        return await super().get(name)

    async def put(self, name, body):
        await super().put(name, body)
        await self.pause()

    async def write(self, name, value, expected_version):
        await self.pause()
        if self.rng.random() < self.fault_ratio:
            self.late_writes.append((name, value, expected_version))
            raise PlatformError("no answer yet")
        done = self.swap(name, value, expected_version)
        await self.pause()
        return done


def make_change(change_id, name, number, base_digest="", service=None):
    text = SECTION.format(name=name, service=service or name, number=number)
    (section,), findings = parse_document(text, name)
    assert findings == ()
    return Change(change_id, section, base_digest)


def make_committer(platform):
    fleet = Fleet({"a": "z1"})
    fleet.platform = platform
    fleet.start("a")
    host = fleet.hosts["a"]
    context = attrs.evolve(
        host.keeper.node_context,
        settings=attrs.evolve(
            host.keeper.node_context.settings,
            admin_key_sha256=hashlib.sha256(KEY.encode()).hexdigest(),
        ),
    )
    return Committer(context, host.board, host.keeper)


async def try_commit(committer, change):
    try:
        return await commit_change(committer, change, KEY)
    except PlatformError as error:
        return error


def read_head_manifest(platform):
    """Return the manifest of the head row."""
    if HEAD_ROW not in platform.rows:
        return None
    head, _ = decode_head(platform.rows[HEAD_ROW].value)
    manifest, findings = decode_manifest(
        platform.bodies[f"bodies/{head.digest}"], head.digest
    )
    assert findings == ()
    return manifest


@settings(derandomize=True, max_examples=400, deadline=None)
@given(seed=integers(0, 2**32))
def test_changes_are_neither_lost_nor_doubled_nor_misreported(seed):
    rng = random.Random(seed)
    platform = FaultyPlatform(rng, rng.choice((0.0, 0.05, 0.15)))
    committers = [make_committer(platform) for _ in range(3)]
    names = ("cue-desk", "panel-feed")
    changes = [
        make_change(f"change-{number}", rng.choice(names), number)
        for number in range(3)
    ]

    async def run():
        commits = map(try_commit, committers, changes)
        outcomes = await asyncio.gather(*commits)
        # The late writes take effect last, in random order.
        rng.shuffle(platform.late_writes)
        for write in platform.late_writes:
            platform.swap(*write)
        return outcomes

    outcomes = asyncio.run(run())
    manifest = read_head_manifest(platform)
    records = manifest.changes if manifest else ()
    committed = [record.change_id for record in records]
    assert len(committed) == len(set(committed))
    if manifest:
        assert manifest.revision == len(committed)
    for change, outcome in zip(changes, outcomes, strict=True):
        name = change.section.name
        if isinstance(outcome, Accepted | AlreadyCommitted):
            assert change.change_id in committed
        elif isinstance(outcome, LostRace):
            assert change.change_id not in committed
            assert outcome.other.section == name
            assert outcome.other.change_id != change.change_id
        elif isinstance(outcome, NotCommittedError):
            assert change.change_id not in committed
        else:
            assert isinstance(outcome, CommitUnknownError), outcome


class LostAnswerPlatform(FakePlatform):
    """A platform that loses the answer of the first swap, which takes effect."""

    def __init__(self):
        super().__init__()
        self.swaps = 0

    async def write(self, name, value, expected_version):
        done = await super().write(name, value, expected_version)
        self.swaps += 1
        if self.swaps == 1:
            raise PlatformError("the answer is lost")
        return done


def test_a_swap_whose_answer_is_lost_is_found_in_the_head():
    platform = LostAnswerPlatform()
    committer = make_committer(platform)
    outcome = asyncio.run(try_commit(committer, make_change("change-1", "x", 1)))
    assert isinstance(outcome, Accepted)
    assert [record.change_id for record in read_head_manifest(platform).changes] == [
        "change-1"
    ]


def test_a_platform_that_is_down_before_the_swap_means_not_committed():
    platform = FakePlatform(objects_up=False)
    outcome = asyncio.run(
        try_commit(make_committer(platform), make_change("change-1", "x", 1))
    )
    assert isinstance(outcome, NotCommittedError)


def test_two_owners_race_on_one_section_and_the_loser_sees_the_other_change():
    platform = FakePlatform()
    committer = make_committer(platform)
    first, second = (make_change(f"change-{n}", "cue-desk", n) for n in (1, 2))
    assert isinstance(asyncio.run(try_commit(committer, first)), Accepted)
    lost = asyncio.run(try_commit(committer, second))
    assert isinstance(lost, LostRace)
    assert lost.other.change_id == "change-1"
    assert lost.current_digest == digest_of(body_of(first.section))


def test_a_race_on_two_sections_is_validated_as_a_whole():
    platform = FakePlatform()
    one = make_committer(platform)
    other = make_committer(platform)
    changes = (
        make_change("change-1", "cue-desk", 1, service="shared"),
        make_change("change-2", "panel-feed", 1, service="shared"),
    )

    async def race():
        return await asyncio.gather(*map(try_commit, (one, other), changes))

    outcomes = asyncio.run(race())
    assert {type(item) for item in outcomes} == {Accepted, Invalid}


def test_the_last_commit_is_found_without_the_table():
    platform = FakePlatform()
    committer = make_committer(platform)
    digest = ""
    for number in range(1, 5):
        change = make_change(f"change-{number}", "cue-desk", number, digest)
        digest = digest_of(body_of(change.section))
        if number == 3:
            # The committer stops after the swap, before it records the head.
            asyncio.run(try_commit(committer, change))
            del platform.bodies["committed/3"]
            platform.bodies["committed/latest"] = platform.bodies["committed/2"]
        else:
            assert isinstance(asyncio.run(try_commit(committer, change)), Accepted)
    # The latest object is only a lower bound, as a delayed writer may overwrite it
    # with an older head.
    platform.bodies["committed/latest"] = platform.bodies["committed/1"]
    head = asyncio.run(find_committed(platform))
    assert head.revision == 4
