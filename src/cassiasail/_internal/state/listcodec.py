"""Formats of configuration rows and objects in the store.

Row ``config/head`` names the newest version, ``config/version/<12 digits>`` keeps
the history and ``config/edit/<edit id>`` answers whether an edit was committed.
Objects are zlib-compressed CBOR maps. Unknown members are ignored, so that a newer
command line may add some.
"""

import zlib
from dataclasses import dataclass
from typing import Any

import cbor2

from ...exceptions import ProtocolError
from ..ids import EditId, Version
from . import cborcodec
from .lists import Delta, Rows, Snapshot

HEAD_KEY = "config/head"
VERSION_PREFIX = "config/version/"
EDIT_PREFIX = "config/edit/"


@dataclass(frozen=True, slots=True, kw_only=True)
class HeadRow:
    """The newest committed version; ``snapshot`` and ``delta`` are object names."""

    version: Version
    digest: int
    edit_id: EditId
    snapshot: str
    delta: str


@dataclass(frozen=True, slots=True, kw_only=True)
class VersionRow:
    """One version of the history; ``time`` is in seconds since the epoch."""

    head: HeadRow
    author: str
    time: float
    comment: str


def version_key(version: int) -> str:
    """Return the history row key: ``config/version/000000000042`` for 42."""
    return f"{VERSION_PREFIX}{version:012d}"


def edit_key(edit_id: str) -> str:
    """Return the key of the row that says which version an edit became."""
    return f"{EDIT_PREFIX}{edit_id}"


def snapshot_name(edit_id: str) -> str:
    """Return the object name of the snapshot written by an edit."""
    return f"config/snapshot/{edit_id}"


def delta_name(edit_id: str) -> str:
    """Return the object name of the delta written by an edit."""
    return f"config/delta/{edit_id}"


def encode_head(head: HeadRow) -> dict[str, Any]:
    """Return the value of row ``config/head``."""
    return {
        "version": head.version,
        "digest": cborcodec.digest_bytes(head.digest),
        "edit_id": head.edit_id,
        "snapshot": head.snapshot,
        "delta": head.delta,
    }


def decode_head(value: Any) -> HeadRow:
    """Parse row ``config/head``; raise ``ProtocolError`` if it is malformed."""
    row = cborcodec.mapping(value)
    version = cborcodec.unsigned(row.get("version"))
    if version == 0:
        raise ProtocolError("version 0 is never committed")
    return HeadRow(
        version=Version(version),
        digest=cborcodec.digest_value(row.get("digest")),
        edit_id=EditId(cborcodec.text(row.get("edit_id"))),
        snapshot=cborcodec.text(row.get("snapshot")),
        delta=cborcodec.text(row.get("delta")),
    )


def encode_version(row: VersionRow) -> dict[str, Any]:
    """Return the value of a history row."""
    head = encode_head(row.head)
    return {**head, "author": row.author, "time": row.time, "comment": row.comment}


def decode_version(value: Any) -> VersionRow:
    """Parse a history row; raise ``ProtocolError`` if it is malformed."""
    row = cborcodec.mapping(value)
    return VersionRow(
        head=decode_head(row),
        author=cborcodec.text(row.get("author")),
        time=cborcodec.number(row.get("time"), limit=1e12),
        comment=cborcodec.text(row.get("comment"), limit=65536),
    )


def encode_edit(version: Version) -> dict[str, Any]:
    """Return the value of row ``config/edit/<edit id>``."""
    return {"version": version}


def decode_edit(value: Any) -> Version:
    """Return the version an edit became; raise ``ProtocolError`` if malformed."""
    return Version(cborcodec.unsigned(cborcodec.mapping(value).get("version")))


def encode_delta(delta: Delta) -> bytes:
    """Return the delta object."""
    return _pack(
        {
            "version": delta.version,
            "base": delta.base,
            "digest": cborcodec.digest_bytes(delta.digest),
            "set": {key: dict(row) for key, row in delta.changed_by_key.items()},
            "removed": list(delta.removed),
        }
    )


def decode_delta(data: bytes) -> Delta:
    """Parse a delta object; raise ``ProtocolError`` if it is malformed."""
    found = cborcodec.mapping(cborcodec.load(cborcodec.inflate(data)))
    return delta_of(
        found.get("version"),
        found.get("base"),
        found.get("digest"),
        found.get("set"),
        found.get("removed"),
    )


def encode_snapshot(snapshot: Snapshot) -> bytes:
    """Return the snapshot object."""
    return _pack(
        {
            "version": snapshot.version,
            "digest": cborcodec.digest_bytes(snapshot.digest),
            "rows": {key: dict(row) for key, row in snapshot.rows_by_key.items()},
        }
    )


def decode_snapshot(data: bytes) -> Snapshot:
    """Parse a snapshot object; raise ``ProtocolError`` if it is malformed."""
    found = cborcodec.mapping(cborcodec.load(cborcodec.inflate(data)))
    return snapshot_of(found.get("version"), found.get("digest"), found.get("rows"))


def delta_of(version: Any, base: Any, digest: Any, changed: Any, removed: Any) -> Delta:
    """Build a delta from decoded CBOR values."""
    return Delta(
        version=Version(cborcodec.unsigned(version)),
        base=Version(cborcodec.unsigned(base)),
        digest=cborcodec.digest_value(digest),
        changed_by_key=_rows(changed),
        removed=tuple(cborcodec.text(key) for key in cborcodec.items(removed)),
    )


def snapshot_of(version: Any, digest: Any, rows: Any) -> Snapshot:
    """Build a snapshot from decoded CBOR values."""
    return Snapshot(
        version=Version(cborcodec.unsigned(version)),
        digest=cborcodec.digest_value(digest),
        rows_by_key=_rows(rows),
    )


def _rows(value: Any) -> Rows:
    rows = cborcodec.mapping(value)
    for key, fields in rows.items():
        cborcodec.text(key)
        for name, field in cborcodec.mapping(fields).items():
            cborcodec.text(name)
            if type(field) not in (str, int, float, bool, type(None)):
                raise ProtocolError(f"row {key!r} has a field that is not a scalar")
    return rows


def _pack(value: Any) -> bytes:
    encoded = cbor2.dumps(value)
    if len(encoded) > cborcodec.MAX_DECODED_BYTES:
        raise ProtocolError(
            f"the lists take {len(encoded)} bytes; split or shorten them to stay "
            f"below {cborcodec.MAX_DECODED_BYTES}"
        )
    return zlib.compress(encoded)
