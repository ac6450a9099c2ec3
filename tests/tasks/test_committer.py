"""A change is committed once or not at all, and the operator is told which."""

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
    """Loses requests, loses answers, and lets writes take effect late."""

    def __init__(self, chance, fault_share):
        super().__init__()
        self.chance = chance
        self.fault_share = fault_share
        self.late = []

    async def pause(self):
        for _ in range(self.chance.randint(0, 3)):
            await asyncio.sleep(0)
        if self.late and self.chance.random() < 0.3:
            self.swap(*self.late.pop(0))
        if self.chance.random() < self.fault_share:
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
        if self.chance.random() < self.fault_share:
            self.late.append((name, value, expected_version))
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
    world = attrs.evolve(
        host.keeper.world,
        settings=attrs.evolve(
            host.keeper.world.settings,
            admin_key_sha256=hashlib.sha256(KEY.encode()).hexdigest(),
        ),
    )
    return Committer(world, host.board, host.keeper)


async def try_commit(committer, change):
    try:
        return await commit_change(committer, change, KEY)
    except PlatformError as error:
        return error


def history(platform):
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
    chance = random.Random(seed)
    platform = FaultyPlatform(chance, chance.choice((0.0, 0.05, 0.15)))
    committers = [make_committer(platform) for _ in range(3)]
    names = ("cue-desk", "panel-feed")
    changes = [
        make_change(f"change-{number}", chance.choice(names), number)
        for number in range(3)
    ]

    async def run():
        work = map(try_commit, committers, changes)
        outcomes = await asyncio.gather(*work)
        # What is late takes effect at last, in the worst order.
        chance.shuffle(platform.late)
        for late in platform.late:
            platform.swap(*late)
        return outcomes

    outcomes = asyncio.run(run())
    manifest = history(platform)
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


class LosingPlatform(FakePlatform):
    """Loses the answer of the first swap, which took effect."""

    def __init__(self):
        super().__init__()
        self.swaps = 0

    async def write(self, name, value, expected_version):
        done = await super().write(name, value, expected_version)
        self.swaps += 1
        if self.swaps == 1:
            raise PlatformError("the answer is lost")
        return done


def test_an_answer_lost_after_its_effect_is_read_back():
    platform = LosingPlatform()
    committer = make_committer(platform)
    outcome = asyncio.run(try_commit(committer, make_change("change-1", "x", 1)))
    assert isinstance(outcome, Accepted)
    assert [record.change_id for record in history(platform).changes] == ["change-1"]


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
            # The committer dies between its swap and the record of it.
            asyncio.run(try_commit(committer, change))
            del platform.bodies["committed/3"]
            platform.bodies["committed/latest"] = platform.bodies["committed/2"]
        else:
            assert isinstance(asyncio.run(try_commit(committer, change)), Accepted)
    # The pointer is only a lower bound: a paused writer may have set it back.
    platform.bodies["committed/latest"] = platform.bodies["committed/1"]
    head = asyncio.run(find_committed(platform))
    assert head.revision == 4
