from agaterelay.core.parse import parse_document

GOOD = """\
section: cue-desk
owner: cue-team
services:
  - name: cue-desk
    version: v1
routes:
  - name: fire
    path: /fire
    methods: [POST]
    service: cue-desk
"""


def test_good_section_keeps_its_places():
    (section,), findings = parse_document(GOOD, "night.yaml")
    assert findings == ()
    assert str(section.routes[0].place) == "night.yaml:7:5"
    assert not section.routes[0].idempotent


def test_all_findings_are_reported_with_their_places():
    text = GOOD.replace("version: v1", "verzion: v1").replace("[POST]", "[FIRE]")
    _, findings = parse_document(text, "night.yaml")
    places = [(finding.place.line, finding.section) for finding in findings]
    assert places == [
        (5, "cue-desk"),
        (4, "cue-desk"),
        (9, "cue-desk"),
        (9, "cue-desk"),
    ]
