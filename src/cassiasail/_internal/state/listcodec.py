"""Formats of the configuration rows and objects in the store.

Row ``config/head`` describes the newest version. Each row
``config/version/<12 digits>`` describes one version of the history. A row
``config/edit/<edit id>`` exists if the edit was committed and contains its version.
Objects are zlib-compressed CBOR maps with the rows of the lists. Unknown keys of rows
and objects are ignored, so that newer releases of the command line can add some.
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
    """One version of the history; ``time`` is in seconds since the Unix epoch."""

    head: HeadRow
    author: str
    time: float
    comment: str


def version_key(version: int) -> str:
    """Return the history row key: ``config/version/000000000042`` for 42."""
    return f"{VERSION_PREFIX}{version:012d}"


def edit_key(edit_id: str) -> str:
    """Return the key of the row with the version that an edit was committed as."""
    return f"{EDIT_PREFIX}{edit_id}"


def snapshot_name(edit_id: str) -> str:
    """Return the object name of the snapshot written by an edit."""
    return f"config/snapshot/{edit_id}"


def delta_name(edit_id: str) -> str:
    """Return the object name of the delta written by an edit."""
    return f"config/delta/{edit_id}"


def encode_head(head: HeadRow) -> dict[str, Any]:
    """Return the value stored in row ``config/head``."""
    return {
        "version": head.version,
        "digest": cborcodec.digest_to_bytes(head.digest),
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
        digest=cborcodec.digest_from_bytes(row.get("digest")),
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
    """Return the version of a committed edit; raise ``ProtocolError`` if malformed."""
    return Version(cborcodec.unsigned(cborcodec.mapping(value).get("version")))


def encode_delta(delta: Delta) -> bytes:
    """Return the encoded delta object."""
    return _encode_object(
        {
            "version": delta.version,
            "base": delta.base,
            "digest": cborcodec.digest_to_bytes(delta.digest),
            "set": {key: dict(row) for key, row in delta.changed_by_key.items()},
            "removed": list(delta.removed),
        }
    )


def decode_delta(data: bytes) -> Delta:
    """Parse a delta object; raise ``ProtocolError`` if it is malformed."""
    decoded = cborcodec.mapping(cborcodec.decode_item(cborcodec.inflate(data)))
    return delta_from_values(
        decoded.get("version"),
        decoded.get("base"),
        decoded.get("digest"),
        decoded.get("set"),
        decoded.get("removed"),
    )


def encode_snapshot(snapshot: Snapshot) -> bytes:
    """Return the encoded snapshot object."""
    return _encode_object(
        {
            "version": snapshot.version,
            "digest": cborcodec.digest_to_bytes(snapshot.digest),
            "rows": {key: dict(row) for key, row in snapshot.rows_by_key.items()},
        }
    )


def decode_snapshot(data: bytes) -> Snapshot:
    """Parse a snapshot object; raise ``ProtocolError`` if it is malformed."""
    decoded = cborcodec.mapping(cborcodec.decode_item(cborcodec.inflate(data)))
    return snapshot_from_values(
        decoded.get("version"), decoded.get("digest"), decoded.get("rows")
    )


def delta_from_values(
    version: Any, base: Any, digest: Any, changed: Any, removed: Any
) -> Delta:
    """Build a delta from decoded CBOR values; raise ``ProtocolError`` if malformed."""
    return Delta(
        version=Version(cborcodec.unsigned(version)),
        base=Version(cborcodec.unsigned(base)),
        digest=cborcodec.digest_from_bytes(digest),
        changed_by_key=_check_rows(changed),
        removed=tuple(cborcodec.text(key) for key in cborcodec.items(removed)),
    )


def snapshot_from_values(version: Any, digest: Any, rows: Any) -> Snapshot:
    """Build a snapshot from CBOR values; raise ``ProtocolError`` if malformed."""
    return Snapshot(
        version=Version(cborcodec.unsigned(version)),
        digest=cborcodec.digest_from_bytes(digest),
        rows_by_key=_check_rows(rows),
    )


def _check_rows(value: Any) -> Rows:
    """Return ``value`` if it maps row keys to maps from field names to scalars."""
    rows = cborcodec.mapping(value)
    for key, fields in rows.items():
        cborcodec.text(key)
        for name, field in cborcodec.mapping(fields).items():
            cborcodec.text(name)
            if type(field) not in (str, int, float, bool, type(None)):
                raise ProtocolError(f"row {key!r} has a field that is not a scalar")
    return rows


def _encode_object(value: Any) -> bytes:
    encoded = cbor2.dumps(value)
    if len(encoded) > cborcodec.MAX_DECODED_BYTES:
        raise ProtocolError(
            f"the lists take {len(encoded)} bytes; split or shorten them to stay "
            f"below {cborcodec.MAX_DECODED_BYTES}"
        )
    return zlib.compress(encoded)
