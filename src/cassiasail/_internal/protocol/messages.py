"""Encoding of the control messages between daemons.

A message is one byte for the encoding (0 plain, 1 zlib), then a CBOR list of the type
number and the fields. Type numbers are never changed and fields are only appended.
``decode`` returns None for an unknown type and ignores unknown trailing fields, so that
daemons of neighbouring software versions can exchange messages.
"""

import zlib
from collections.abc import Callable, Mapping
from typing import Any

import cbor2

from ...exceptions import ProtocolError
from ..ids import DaemonId, DataCentre, Version
from ..state import cborcodec
from ..state.listcodec import delta_from_values, snapshot_from_values
from ..state.lists import Delta
from ..state.members import BUCKET_COUNT
from .messagetypes import (
    Attach,
    BucketDigests,
    Busy,
    ConfigPull,
    ConfigRefused,
    Deltas,
    HeadHeartbeats,
    Hello,
    LaggingDaemon,
    MemberDigests,
    MemberPull,
    Members,
    Message,
    Notice,
    Ping,
    Pong,
    SnapshotMessage,
    StatusReport,
    VersionInForce,
)
from .recordcodec import MAX_NAME_CHARS, pack_record, unpack_record

__all__ = [
    "Attach",
    "BucketDigests",
    "Busy",
    "ConfigPull",
    "ConfigRefused",
    "Deltas",
    "HeadHeartbeats",
    "Hello",
    "LaggingDaemon",
    "MAX_MESSAGE_BYTES",
    "MAX_NOTICE_BYTES",
    "MemberDigests",
    "MemberPull",
    "Members",
    "Message",
    "Notice",
    "PROTOCOL_VERSION",
    "Ping",
    "Pong",
    "SnapshotMessage",
    "StatusReport",
    "VersionInForce",
    "decode",
    "encode",
]

PROTOCOL_VERSION = 1
# Compression does not make shorter messages smaller.
COMPRESS_ABOVE_BYTES = 256
MAX_MESSAGE_BYTES = 4 << 20
# Largest payload of a notice.
MAX_NOTICE_BYTES = 4096
# First byte of a message.
_PLAIN, _ZLIB = b"\0", b"\1"


def encode(message: Message) -> bytes:
    """Return the encoding of ``message``, compressed if that makes it shorter."""
    number, pack = _PACKERS[type(message)]
    body = cbor2.dumps([number, *pack(message)])
    if len(body) > COMPRESS_ABOVE_BYTES:
        compressed = zlib.compress(body, 6)
        if len(compressed) < len(body):
            return _ZLIB + compressed
    return _PLAIN + body


def decode(data: bytes) -> Message | None:
    """Return the message in ``data``, None if its type is unknown to this version.

    Raises ``ProtocolError`` if the message is malformed or too large.
    """
    if len(data) > MAX_MESSAGE_BYTES:
        raise ProtocolError(f"message exceeds {MAX_MESSAGE_BYTES} bytes")
    encoding, body = data[:1], data[1:]
    if encoding == _ZLIB:
        body = cborcodec.inflate(body)
    elif encoding != _PLAIN:
        raise ProtocolError("unknown message encoding")
    items = cborcodec.items(cborcodec.decode_item(body), at_least=1, limit=64)
    unpacker = _UNPACKERS.get(cborcodec.unsigned(items[0]))
    if unpacker is None:
        return None
    field_count, unpack = unpacker
    if len(items) <= field_count:
        raise ProtocolError(f"message type {items[0]} lacks fields")
    message: Message = unpack(*items[1 : field_count + 1])
    return message


def _pack_delta(delta: Delta) -> list[Any]:
    return [
        delta.version,
        delta.base,
        cborcodec.digest_to_bytes(delta.digest),
        {key: dict(row) for key, row in delta.changed_by_key.items()},
        list(delta.removed),
    ]


def _unpack_delta(value: Any) -> Delta:
    return delta_from_values(*cborcodec.items(value, at_least=5, limit=64)[:5])


def _pack_snapshot(message: SnapshotMessage) -> list[Any]:
    snapshot = message.snapshot
    rows = {key: dict(row) for key, row in snapshot.rows_by_key.items()}
    return [snapshot.version, cborcodec.digest_to_bytes(snapshot.digest), rows]


def _pack_digests(digests: Mapping[DataCentre, int]) -> dict[str, bytes]:
    return {name: digest.to_bytes(8, "big") for name, digest in digests.items()}


def _unpack_digests(value: Any) -> dict[DataCentre, int]:
    return _unpack_by_data_centre(
        value, lambda item: int.from_bytes(_require_bytes_of_length(item, 8), "big")
    )


def _pack_bucket_digests(message: BucketDigests) -> list[Any]:
    return [
        {
            name: b"".join(digest.to_bytes(8, "big") for digest in digests)
            for name, digests in message.digests.items()
        }
    ]


def _unpack_bucket_digests(value: Any) -> BucketDigests:
    def split_digests(item: Any) -> tuple[int, ...]:
        if item == b"":
            return ()
        data = _require_bytes_of_length(item, 8 * BUCKET_COUNT)
        starts = range(0, len(data), 8)
        return tuple(int.from_bytes(data[start : start + 8], "big") for start in starts)

    return BucketDigests(_unpack_by_data_centre(value, split_digests))


def _unpack_by_data_centre(
    value: Any, parse: Callable[[Any], Any]
) -> dict[DataCentre, Any]:
    """Return the map in ``value``, with ``parse`` applied to each item."""
    return {
        DataCentre(cborcodec.text(name, limit=MAX_NAME_CHARS)): parse(item)
        for name, item in cborcodec.mapping(value).items()
    }


def _require_bytes_of_length(value: Any, size: int) -> bytes:
    data = cborcodec.octets(value, limit=size)
    if len(data) != size:
        raise ProtocolError(f"expected {size} bytes")
    return data


def _require_flag(value: Any) -> bool:
    if type(value) is not bool:
        raise ProtocolError("expected a boolean")
    return value


def _unpack_version(value: Any) -> Version:
    return Version(cborcodec.unsigned(value))


def _unpack_notice(id_: Any, kind: Any, payload: Any, ttl_ms: Any) -> Notice:
    return Notice(
        cborcodec.octets(id_, limit=16),
        cborcodec.text(kind, limit=MAX_NAME_CHARS),
        cborcodec.octets(payload, limit=MAX_NOTICE_BYTES),
        cborcodec.unsigned(ttl_ms),
    )


def _pack_status_report(message: StatusReport) -> list[Any]:
    return [
        {name: dict(counts) for name, counts in message.counts_by_data_centre.items()},
        [[item.daemon, item.version, item.reason] for item in message.lagging_daemons],
        None if message.children is None else list(message.children),
    ]


def _unpack_status_report(
    counts: Any, lagging_daemons: Any, children: Any
) -> StatusReport:
    def unpack_counts(item: Any) -> dict[Version, int]:
        return {
            _unpack_version(version): cborcodec.unsigned(count)
            for version, count in cborcodec.mapping(item).items()
        }

    return StatusReport(
        _unpack_by_data_centre(counts, unpack_counts),
        tuple(
            map(_unpack_lagging_daemon, cborcodec.items(lagging_daemons, limit=1024))
        ),
        None
        if children is None
        else tuple(
            DaemonId(cborcodec.text(item, limit=MAX_NAME_CHARS))
            for item in cborcodec.items(children, limit=4096)
        ),
    )


def _unpack_lagging_daemon(value: Any) -> LaggingDaemon:
    daemon, version, reason = cborcodec.items(value, at_least=3, limit=64)[:3]
    return LaggingDaemon(
        DaemonId(cborcodec.text(daemon, limit=MAX_NAME_CHARS)),
        _unpack_version(version),
        cborcodec.text(reason),
    )


# One row for each message type: its number, its class, the number of its fields, the
# function that returns the fields, and the one that builds the message from them.
_FORMATS: tuple[
    tuple[int, type, int, Callable[[Any], list[Any]], Callable[..., Any]], ...
] = (
    (
        1,
        Hello,
        5,
        lambda m: [
            m.protocol,
            pack_record(m.record),
            m.version,
            cborcodec.digest_to_bytes(m.digest),
            _pack_digests(m.member_digests),
        ],
        lambda protocol, record, version, digest, digests: Hello(
            cborcodec.unsigned(protocol),
            unpack_record(record),
            _unpack_version(version),
            cborcodec.digest_from_bytes(digest),
            _unpack_digests(digests),
        ),
    ),
    (2, Attach, 1, lambda m: [m.attached], lambda flag: Attach(_require_flag(flag))),
    (
        3,
        VersionInForce,
        1,
        lambda m: [m.version],
        lambda version: VersionInForce(_unpack_version(version)),
    ),
    (
        4,
        ConfigPull,
        2,
        lambda m: [m.version, m.snapshot],
        lambda version, snapshot: ConfigPull(
            _unpack_version(version), _require_flag(snapshot)
        ),
    ),
    (
        5,
        ConfigRefused,
        3,
        lambda m: [m.version, m.reason, m.detail],
        lambda version, reason, detail: ConfigRefused(
            _unpack_version(version),
            cborcodec.text(reason, limit=MAX_NAME_CHARS),
            cborcodec.text(detail, limit=4096),
        ),
    ),
    (
        6,
        Deltas,
        1,
        lambda m: [[_pack_delta(delta) for delta in m.deltas]],
        lambda deltas: Deltas(
            tuple(map(_unpack_delta, cborcodec.items(deltas, limit=1024)))
        ),
    ),
    (
        7,
        SnapshotMessage,
        3,
        _pack_snapshot,
        lambda version, digest, rows: SnapshotMessage(
            snapshot_from_values(version, digest, rows)
        ),
    ),
    (
        8,
        Members,
        1,
        lambda m: [[pack_record(record) for record in m.records]],
        lambda records: Members(
            tuple(map(unpack_record, cborcodec.items(records, limit=65536)))
        ),
    ),
    (
        9,
        MemberDigests,
        2,
        lambda m: [m.version, _pack_digests(m.digests)],
        lambda version, digests: MemberDigests(
            _unpack_version(version), _unpack_digests(digests)
        ),
    ),
    (10, BucketDigests, 1, _pack_bucket_digests, _unpack_bucket_digests),
    (
        11,
        MemberPull,
        1,
        lambda m: [dict(m.bucket_masks)],
        lambda masks: MemberPull(_unpack_by_data_centre(masks, cborcodec.unsigned)),
    ),
    (12, Ping, 0, lambda m: [], Ping),
    (13, Pong, 0, lambda m: [], Pong),
    (
        14,
        HeadHeartbeats,
        1,
        lambda m: [dict(m.counters)],
        lambda counters: HeadHeartbeats(
            _unpack_by_data_centre(counters, cborcodec.unsigned)
        ),
    ),
    (
        15,
        Notice,
        4,
        lambda m: [m.id, m.kind, m.payload, m.ttl_ms],
        _unpack_notice,
    ),
    (
        16,
        Busy,
        2,
        lambda m: [m.retry_after_seconds, m.full],
        lambda seconds, full: Busy(
            cborcodec.number(seconds, limit=3600.0), _require_flag(full)
        ),
    ),
    (17, StatusReport, 3, _pack_status_report, _unpack_status_report),
)
_PACKERS = {
    message_type: (number, pack) for number, message_type, _, pack, _ in _FORMATS
}
_UNPACKERS = {
    number: (field_count, unpack) for number, _, field_count, _, unpack in _FORMATS
}
