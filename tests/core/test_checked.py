"""A value that a decoder accepts can be written wherever the node passes it on."""

import json

import msgpack
import pytest
from hypothesis import given, strategies as st

from agaterelay.core.checked import (
    MAX_NAME_BYTES,
    DecodeError,
    check_name,
    check_path,
    check_text,
    load_json,
)

any_text = st.text(st.characters(exclude_categories=()), max_size=120)
ODD_NAMES = [
    "v\ud83d",
    "v1\r\nX-Odd: 1",
    "v1\x00",
    "v1\x7f",
    "v1\u2028",
    " v1",
    "v1 ",
    "",
    "v" * 15_000,
    "é" * MAX_NAME_BYTES,
    None,
    1,
    b"v1",
]


@pytest.mark.parametrize("name", ODD_NAMES)
def test_an_odd_name_is_refused(name):
    with pytest.raises(DecodeError):
        check_name(name)


@pytest.mark.parametrize("name", ["v1", "2026.12 final", "münchen", "a" * 96])
def test_a_usual_name_is_accepted(name):
    assert check_name(name) == name


@given(any_text)
def test_a_name_can_be_written_into_every_format(text):
    try:
        name = check_name(text)
    except DecodeError:
        return
    assert msgpack.unpackb(msgpack.packb(name)) == name
    assert json.loads(json.dumps(name, ensure_ascii=False).encode()) == name
    line = b"X-Name: " + name.encode() + b"\r\n"
    assert line.splitlines() == [line.rstrip(b"\r\n")]
    assert line[8:-2].strip() == name.encode()


@given(any_text)
def test_a_text_can_be_encoded(text):
    try:
        assert check_text(text).encode().decode() == text
    except DecodeError:
        assert any(0xD800 <= ord(character) < 0xE000 for character in text)


@pytest.mark.parametrize(
    "path", ["/a b", "/a\r\nX-Odd: 1", "/ä", "/\x00", "", "/\ud83d"]
)
def test_a_path_that_is_no_request_target_is_refused(path):
    with pytest.raises(DecodeError):
        check_path(path)


@pytest.mark.parametrize("body", [b'"\xed\xa0\xbd"', b'"\xff"', '"v"'.encode("utf-16")])
def test_json_that_is_not_utf_8_is_refused(body):
    with pytest.raises(DecodeError):
        load_json(body)
