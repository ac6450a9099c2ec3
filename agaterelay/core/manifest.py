"""Encode and decode manifests and heads, and compute the digests of bodies."""

from __future__ import annotations

import hashlib
import json
from datetime import datetime
from typing import Any

import attrs
from cattrs import BaseValidationError, Converter
from cattrs.gen import make_dict_structure_fn

from agaterelay.core.model import (
    ChangeRecord,
    Finding,
    Head,
    Manifest,
    MoveProgress,
    Place,
    SectionRef,
)

MAX_MANIFEST_BYTES = 1 << 20

_converter = Converter(prefer_attrib_converters=True)
_converter.register_unstructure_hook(datetime, lambda time: time.isoformat())
_converter.register_structure_hook(datetime, lambda text, _: _decode_time(text))
for _type in (ChangeRecord, Head, Manifest, MoveProgress, SectionRef):
    _converter.register_structure_hook(
        _type, make_dict_structure_fn(_type, _converter, _cattrs_forbid_extra_keys=True)
    )


def _decode_time(text: Any) -> datetime:
    time = datetime.fromisoformat(text)
    if time.tzinfo is None:
        raise ValueError("time has no UTC offset")
    return time


def digest_of(body: bytes) -> str:
    """Return the digest under which a body is kept in the object store."""
    return hashlib.sha256(body).hexdigest()


def _encode(value: Any) -> bytes:
    plain = _converter.unstructure(value)
    return json.dumps(plain, sort_keys=True, separators=(",", ":")).encode()


def _decode(
    body: bytes, kind: type, place: Place
) -> tuple[Any | None, tuple[Finding, ...]]:
    try:
        return _converter.structure(json.loads(body), kind), ()
    except (BaseValidationError, ValueError, TypeError, KeyError, RecursionError) as e:
        message = f"not a valid {kind.__name__.lower()}: {type(e).__name__}"
        return None, (Finding(place, message),)


def encode_manifest(manifest: Manifest) -> bytes:
    """Return the canonical encoding of a manifest, on which its digest is computed."""
    return _encode(manifest)


def decode_manifest(
    body: bytes, digest: str
) -> tuple[Manifest | None, tuple[Finding, ...]]:
    """Check a manifest's digest and decode it.

    Returns:
        The manifest and no findings, or None and the findings.
    """
    place = Place(f"manifest {digest[:12]}")
    if len(body) > MAX_MANIFEST_BYTES:
        return None, (Finding(place, f"larger than {MAX_MANIFEST_BYTES} bytes"),)
    if digest_of(body) != digest:
        return None, (Finding(place, "the bytes do not match the digest"),)
    return _decode(body, Manifest, place)


def encode_head(head: Head) -> bytes:
    """Return the encoding of a head row."""
    return _encode(head)


def decode_head(body: bytes) -> tuple[Head | None, tuple[Finding, ...]]:
    """Decode a head row.

    Returns:
        The head and no findings, or None and the findings.
    """
    return _decode(body, Head, Place("head"))


def to_json_value(value: Any) -> Any:
    """Convert an attrs instance to lists, dicts, strings and numbers for JSON."""
    if attrs.has(type(value)):
        return _converter.unstructure(value)
    return value


def finding_to_json_value(finding: Finding) -> dict[str, Any]:
    """Convert a finding to a dict for JSON."""
    return {
        "filename": finding.place.filename,
        "line": finding.place.line,
        "column": finding.place.column,
        "section": finding.section,
        "message": finding.message,
    }
