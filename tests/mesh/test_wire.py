"""Messages between nodes of different builds."""

import attrs
import msgpack
import pytest

from agaterelay.core.call import Call
from agaterelay.core.checked import DecodeError
from agaterelay.core.outcome import NotRun
from agaterelay.core.placing import LoadReport
from agaterelay.mesh.inbound import CallResult
from agaterelay.mesh.wire import decode_call, decode_result, encode_call, encode_result

RESULT = CallResult(
    NotRun("shed", 0.2), True, LoadReport(3, 9, 80.0, 0.1, 17.5, -40.0), 12.5, True
)


def test_a_result_is_decoded_as_it_was_sent():
    assert decode_result(encode_result(RESULT)) == RESULT


def test_earlier_builds_read_the_first_items_and_are_read_without_the_others():
    encoded = encode_result(RESULT)[:4]
    assert len(encoded[2]) == 4
    decoded = decode_result(encoded)
    assert decoded.report == LoadReport(3, 9, 80.0, 0.1)
    assert not decoded.leaving


CALL = Call(
    "c", "GET", "/", ((b"A", b"b"),), b"", "r", "desk", "v1", "i-1", "desk", True, 1,
    5.0, 4.0, workspace="acme",
)  # fmt: skip


def transferred(encoded):
    return msgpack.unpackb(msgpack.packb(encoded))


def test_a_call_carries_its_workspace_between_builds():
    """Guards against builds that cannot run each other's calls during an upgrade."""
    encoded = transferred(encode_call(CALL, 0.0))
    assert decode_call(encoded, 0.0) == CALL
    # The previous build reads 15 items by position, and sends no more than these.
    assert (
        encoded[:15]
        == transferred(encode_call(attrs.evolve(CALL, workspace=""), 0))[:15]
    )
    assert decode_call(encoded[:15], 0.0) == attrs.evolve(CALL, workspace="")


@pytest.mark.parametrize("name", [7, None, " ", "a\r\nX-Tenant: b", "x" * 97])
def test_a_call_with_an_unusable_workspace_is_refused(name):
    """Guards against headers injected at the upstream by another node's message."""
    encoded = [*transferred(encode_call(CALL, 0.0))[:15], name]
    with pytest.raises(DecodeError):
        decode_call(encoded, 0.0)


def test_calls_of_earlier_builds_are_read_without_the_later_fields():
    call = Call("p.1", "GET", "/", (), b"", "r", "s", "v", "i", "c", True, 1, 2.0, 1.0)
    call = attrs.evolve(call, workspace="w", nested=True)
    encoded = encode_call(call, 0.0)
    assert decode_call(encoded, 0.0) == call
    decoded = decode_call(encoded[:15], 0.0)
    assert decoded == attrs.evolve(call, workspace="", nested=False)
