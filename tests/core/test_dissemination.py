from hypothesis import given, settings
from hypothesis.strategies import floats, integers, lists, sets, tuples

from agaterelay.core.dissemination import FANOUT, ByteBudget, spend_bytes, tree_children
from agaterelay.core.model import Head
from agaterelay.core.revision_candidates import (
    MAX_CANDIDATE_SOURCES,
    MAX_CANDIDATES,
    MAX_REFUSED_DIGESTS,
    Candidate,
    RevisionCandidates,
    add_candidate,
    refuse_revision,
)

HOSTS = sets(integers(0, 999).map(str), min_size=1, max_size=120)


@settings(derandomize=True)
@given(members=HOSTS, origin=integers(0, 999).map(str))
def test_the_tree_reaches_each_host_once_with_bounded_fanout(members, origin):
    notified = [origin]
    for host in notified:
        children = tree_children(members, origin, host)
        assert len(children) <= FANOUT
        notified.extend(children)
    assert sorted(notified) == sorted(members | {origin})


@settings(derandomize=True)
@given(steps=lists(tuples(integers(1, 5000), floats(0, 3)), max_size=40))
def test_no_more_bytes_are_spent_than_the_rate_allows(steps):
    budget = ByteBudget(1000.0, 5000.0, 5000.0, 0.0)
    now_s = 0.0
    spent = 0
    for size_bytes, pause_s in steps:
        now_s += pause_s
        budget, wait_s = spend_bytes(budget, size_bytes, now_s)
        if not wait_s:
            spent += size_bytes
        assert spent <= 5000 + 1000 * now_s + 1e-6


@settings(derandomize=True)
@given(
    notifications=lists(tuples(integers(1, 30), integers(0, 20)), max_size=60),
    held=integers(0, 10),
)
def test_news_are_bounded_and_the_newest_goes_first(notifications, held):
    known = RevisionCandidates()
    for revision, source in notifications:
        head = Head(revision, f"digest-{revision}")
        known = add_candidate(known, Candidate(head, (f"host-{source}",)), held)
    revisions = [item.head.revision for item in known.candidates]
    newer = sorted({revision for revision, _ in notifications if revision > held})
    assert revisions == newer[::-1][:MAX_CANDIDATES]
    assert all(len(item.sources) <= MAX_CANDIDATE_SOURCES for item in known.candidates)


def test_what_was_refused_is_not_tried_again_and_is_bounded():
    known = RevisionCandidates()
    for revision in range(1, 200):
        candidate = Candidate(Head(revision, f"digest-{revision}"))
        known = refuse_revision(
            add_candidate(known, candidate, 0), candidate.head.digest
        )
        assert add_candidate(known, candidate, 0).candidates == ()
    assert len(known.refused) == MAX_REFUSED_DIGESTS
