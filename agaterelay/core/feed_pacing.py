"""Decide how a node reads the changes of the store, and how long it waits for them.

The store's feed returns every change since a version, also those that later ones have
superseded. A node that last followed it some time ago would receive all documents that
were written meanwhile, which fills a narrow link for many seconds and delays what other
nodes send. It reads the rows as they are instead, which is one document.

The store's answer time is measured by the calls that no change has ended early. Of the
others it is unknown when the change was written.
"""

from __future__ import annotations

import attrs

# A healthy store answers within some milliseconds.
SLOW_ANSWER_S = 0.2
# How long ago a feed may have been followed to go on with it, where a document takes a
# noticeable time on the host's link.
MAX_RESUME_AGE_S = 2.0
NOTICEABLE_TRANSFER_S = 0.05
# Nodes that follow the store in place of their zone's readers begin one after the other,
# so that the first ones can tell the others.
STAND_IN_INTERVAL_S = 0.1
MAX_STAND_IN_DELAY_S = 1.5
MIN_WAIT_S = 0.1


@attrs.define
class AnswerTime:
    """The store's answer time in seconds, by the call that was sent last at ``sent_s``."""

    answer_s: float = 0.0
    sent_s: float = float("-inf")

    @property
    def is_slow(self) -> bool:
        """Whether the answer time matters beside the other delays of a change."""
        return self.answer_s >= SLOW_ANSWER_S


def record_answer(
    answer_time: AnswerTime, began_s: float, wait_s: float, now_s: float
) -> bool:
    """Record a call whose answer no change has ended early.

    Args:
        answer_time: Changed in place.
        began_s: When the call was sent.
        wait_s: How long the store was asked to wait for changes.
        now_s: The current time in seconds.

    Returns:
        Whether the store has become slow, or is no longer slow.
    """
    if began_s < answer_time.sent_s:
        return False
    was_slow = answer_time.is_slow
    answer_time.answer_s = max(now_s - began_s - wait_s, 0.0)
    answer_time.sent_s = began_s
    return answer_time.is_slow != was_slow


def transfer_s(size_bytes: int, link_mbps: int) -> float:
    """Return how long values from the store take on a host's link, in seconds.

    Args:
        size_bytes: The size of the values; the store's text is a third longer.
        link_mbps: The bandwidth of the link, 0 if it is not known.
    """
    return size_bytes * 4 / 3 * 8e-6 / link_mbps if link_mbps else 0.0


def must_read_anew(age_s: float, document_s: float) -> bool:
    """Return whether a table's rows are read, instead of the changes of its feed.

    Args:
        age_s: How old the state is that this node has read, in seconds.
        document_s: How long the largest row takes on the host's link, in seconds.
    """
    return age_s > MAX_RESUME_AGE_S and document_s >= NOTICEABLE_TRANSFER_S


def feed_wait_s(answer_time: AnswerTime, longest_s: float) -> float:
    """Return how long the store is asked to wait for a change, in seconds.

    The answer of an idle feed then comes after the same time whether or not the store is
    slow, so that a slow store isn't taken for one that does not answer.

    Args:
        answer_time: The store's answer time.
        longest_s: How long the call may take in all.
    """
    if not answer_time.is_slow:
        return longest_s
    return max(longest_s - answer_time.answer_s, MIN_WAIT_S)


def stand_in_delay_s(position: int) -> float:
    """Return how long a node waits before it reads the store in place of the readers.

    Args:
        position: The node's position in an order that all nodes of its zone agree on.
    """
    return min(position * STAND_IN_INTERVAL_S, MAX_STAND_IN_DELAY_S)
