import attrs
from hypothesis import example, given, settings, strategies as st

from agaterelay.core.fields import MAX_FINDINGS
from agaterelay.core.model import Place
from agaterelay.core.parse import parse_document
from agaterelay.core.snapshot import validate_sections

GOOD = """\
section: owners
owner: admin
owners:
  - name: cue-team
    key_sha256: aec1d02e0d8b0dce0ec0ab48b803d74bf5687b544fb602fd13d7bbdef18deef0
---
section: cue-desk
owner: cue-team
services: [{name: cue-desk, version: v1}]
routes:
  - name: fire
    path: /fire
    methods: [POST]
    service: cue-desk
    timeout_ms: 900
moves:
  - name: cue-v2
    service: cue-desk
    from: v1
    to: v2
    finish_by: 2026-12-04T20:00:00+07:00
    bake_s: 5
"""
SNIPPETS = (
    "<<: {a: b}", "&a ", "*a", "!!binary ", "!x ", "- ", "\t", "---\n", "...\n", "? ",
    "{", "}", "[", "]", "'", '"', "|\n", "\x00", "\x85", "\u2028", "\ufeff", "\ud800",
    "\U0001f3b6", "٣", "1e400", "0x10", "9" * 30, "~", "null", "yes", "%YAML 9.9\n",
    "0001-01-01T00:00:00+14:00", "9999-12-31T23:59:59-23:59:59.5", "2026-W01-1",
    "section: cue-desk\n", "owner: admin\n", "# remark\n", "[" * 40, "  ",
)  # fmt: skip
edits = st.lists(
    st.tuples(
        st.integers(0, len(GOOD)),
        st.integers(0, 12),
        st.one_of(st.sampled_from(SNIPPETS), st.text(max_size=4)),
    ),
    min_size=1,
    max_size=6,
)


def edited(changes):
    text = GOOD
    for start, removed, inserted in changes:
        text = text[:start] + inserted + text[start + removed :]
    return text


def without_places(value):
    if attrs.has(type(value)) and not isinstance(value, Place):
        return {
            field.name: without_places(getattr(value, field.name))
            for field in attrs.fields(type(value))
            if field.name != "place"
        }
    if isinstance(value, tuple):
        return [without_places(item) for item in value]
    return value


def check_text(text):
    sections, findings = parse_document(text, "night.yaml")
    assert sections or findings
    assert len(findings) <= MAX_FINDINGS
    for finding in findings:
        assert str(finding).startswith("night.yaml:")
        assert finding.place.line >= 1 and finding.place.column >= 1
    if findings:
        return
    validate_sections(sections)
    for section in sections:
        parsed, found = parse_document(section.text, "night.yaml")
        assert found == ()
        assert without_places(parsed[0]) == without_places(section)


@given(edits)
@settings(derandomize=True, max_examples=600, deadline=None)
def test_an_edited_document_gives_sections_or_findings(changes):
    check_text(edited(changes))


@given(st.text(st.sampled_from("abyes:-{}[]&*!|>'\"#%@`,? \n\t0189<~"), max_size=60))
@example("  section: x\n  owner: y\n")
@example("--- !!map\nsection: x\nowner: y\n")
@example("section: x\x85owner: y\n")
@settings(derandomize=True, max_examples=300, deadline=None)
def test_any_text_gives_sections_or_findings(text):
    check_text(text)


def findings_of(text):
    return [str(finding) for finding in parse_document(text, "n")[1]]


def test_unsupported_yaml_is_refused_with_its_place():
    head = "section: a\nowner: b\n"
    assert findings_of(head + "<<: {owners: []}\n")[0].startswith(
        "n:3:1: [a] unknown key '<<' in a section"
    )
    assert findings_of("section: &x a\n") == ["n:1:10: anchors are not allowed"]
    assert findings_of("section: !y a\n") == ["n:1:10: tags are not allowed: !y"]
    assert findings_of("section: " + "[" * 30)[0].endswith("deeper than 16 levels")
    assert findings_of(head + "owner: c\n") == [
        "n:3:1: [a] key 'owner' appears twice in a section"
    ]


def test_invalid_numbers_and_times_are_findings():
    move = "section: a\nowner: b\nmoves: [{name: m, service: s, from: v, to: w, %s}]"
    for value in ("finish_by: 0001-01-01T00:00:00+14:00", "finish_by: 2026-12-04"):
        assert "must be an ISO 8601 time" in findings_of(move % value)[0]
    for value in ("finish_within_s: ٣", f"finish_within_s: {'9' * 5000}"):
        assert "must be a whole number" in findings_of(move % value)[0]
