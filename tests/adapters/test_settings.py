from pathlib import Path

import pytest
from hypothesis import given, settings as hypothesis_settings, strategies as st

from agaterelay.adapters.settings import Settings, load_settings, parse_settings

GOOD = """\
[node]
zone = "bangkok-1"
region = "thailand"
peers_address = "127.0.1.1:7001"
calls_address = "127.0.1.1:7000"
operators_address = "127.0.1.1:7002"
seeds = ["127.0.2.1:7001"]

[platform]
table_url = "http://127.0.0.1:7100/table"
objects_url = "http://127.0.0.1:7100/objects"

[operators]
admin_key_sha256 = "{hash}"

[timing]
drain_s = 20
""".replace("{hash}", "0a" * 32)
SNIPPETS = (
    "[node]\n", "[[node]]\n", "[tls]\n", "[x]\n", "ca = 1\n", "drain_s = nan\n", "inf",
    "0x" + "f" * 6000, "9" * 6000, "'''", '"""', "\x00", "\x85", "\u2028", "\ud800", "٣",
    "[" * 400, "{a=" * 400, "1979-05-27T07:32:00Z", "\r", "node.zone = 1\n", "= ", "#",
)  # fmt: skip


def findings_of(text):
    found, findings = parse_settings(text, "node.toml")
    assert (found is None) == bool(findings)
    return [str(finding) for finding in findings]


def test_good_settings():
    found, findings = parse_settings(GOOD, "node.toml")
    assert findings == ()
    assert isinstance(found, Settings)
    assert found.seeds == ("127.0.2.1:7001",) and found.tls is None


def test_all_findings_are_reported_together_with_their_lines():
    text = (
        GOOD.replace('"bangkok-1"', "1")
        .replace("127.0.1.1:7000", "127.0.1.1:7001")
        .replace("drain_s = 20", "drain_s = -1\ndrian_s = 3")
        .replace('table_url = "http', 'table_url = "ftp')
        + "[tls]\nca = 'ca.pem'\n"
    )
    assert findings_of(text) == [
        "node.toml:2:1: node.zone must be a name of lower-case letters, digits and "
        "hyphens, not 1",
        "node.toml:5:1: node.calls_address is the same as node.peers_address",
        "node.toml:10:1: platform.table_url must be an http:// address, not "
        "'ftp://127.0.0.1:7100/table'",
        "node.toml:17:1: timing.drain_s must be a number of seconds from 0 to 3600, "
        "not -1",
        "node.toml:18:1: unknown key timing.drian_s; known: head_poll_s, "
        "probe_period_s, move_step_s, drain_s",
        "node.toml:19:1: tls needs all of its files; missing: tls.certificate, tls.key",
    ]


def test_missing_keys_say_what_is_expected():
    findings = findings_of("[node]\n")
    assert len(findings) == 8
    assert "node.toml:1:1: missing key platform.table_url: an http:// address" in (
        findings
    )


@pytest.mark.parametrize(
    ("content", "expected"),
    [
        (None, "node.toml:1:1: cannot be read: No such file or directory"),
        (b"[node]\nzone = '\xff'\n", "node.toml:2:1: is not UTF-8 text"),
        (b"#" * 70_000, "node.toml:1:1: has more than 65536 bytes"),
    ],
)
def test_files_that_are_no_settings(tmp_path, content, expected):
    path = tmp_path / "node.toml"
    if content is not None:
        path.write_bytes(content)
    found, findings = load_settings(Path(path))
    assert found is None
    assert [str(item).replace(f"{tmp_path}/", "") for item in findings] == [expected]


@given(
    st.lists(
        st.tuples(
            st.integers(0, len(GOOD)),
            st.integers(0, 12),
            st.one_of(st.sampled_from(SNIPPETS), st.text(max_size=4)),
        ),
        min_size=1,
        max_size=5,
    )
)
@hypothesis_settings(derandomize=True, max_examples=500, deadline=None)
def test_an_edited_file_gives_settings_or_findings(changes):
    text = GOOD
    for start, dropped, inserted in changes:
        text = text[:start] + inserted + text[start + dropped :]
    lines = text.count("\n") + 1
    found, findings = parse_settings(text, "node.toml")
    assert (found is None) == bool(findings)
    for finding in findings:
        assert 1 <= finding.place.line <= lines
        assert len(str(finding)) < 500
