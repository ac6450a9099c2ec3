"""Messages between nodes of different builds."""

import attrs

from agaterelay.core.call import Call
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


def test_calls_of_earlier_builds_are_read_without_the_later_fields():
    call = Call("p.1", "GET", "/", (), b"", "r", "s", "v", "i", "c", True, 1, 2.0, 1.0)
    call = attrs.evolve(call, workspace="w", nested=True)
    encoded = encode_call(call, 0.0)
    assert decode_call(encoded, 0.0) == call
    decoded = decode_call(encoded[:15], 0.0)
    assert decoded == attrs.evolve(call, workspace="", nested=False)
