"""The record that each daemon publishes about itself and its target.

Each VM has one record in the store, written only by the daemon of that VM. Two writers
can therefore only race if they are two incarnations of the same daemon.
"""

from dataclasses import dataclass
from enum import Enum
from io import BytesIO
from typing import Any

import cbor2

from ...exceptions import ProtocolError
from ..ids import DaemonStart, DataCentre, Region, ServiceName, TargetId
from . import cborcodec, ranges
from .addresses import Address, parse_address
from .fingerprints import FINGERPRINT_BYTES, Fingerprint

# Number of fields in the first item of a record, and nesting of its lists.
RECORD_FIELDS = 10
MAX_RECORD_DEPTH = 4
# Daemons publish fewer; the rest is room for other builds.
MAX_RECORD_CRASHES = 64

HostId = str
# One start of a target: its id and the Unix time in milliseconds at which it started.
Incarnation = tuple[TargetId, int]


class TargetState(Enum):
    """Whether a target accepts new requests; the value is stored in the record.

    A ``SUSPENDED`` target is out of service for now, because its daemon is restarting
    or it crashed or missed heartbeats; the same incarnation may become ready again. A
    ``LEAVING`` or ``ABSENT`` target is not used again in this incarnation.
    """

    READY = "ready"
    SUSPENDED = "suspended"
    LEAVING = "leaving"
    ABSENT = "absent"


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetCrash:
    """The crash of a target and the fingerprints of the requests then in flight."""

    target: TargetId
    start_time_ms: int
    fingerprints: tuple[Fingerprint, ...]

    @property
    def incarnation(self) -> Incarnation:
        """The incarnation of the target that crashed."""
        return self.target, self.start_time_ms


@dataclass(frozen=True, slots=True, kw_only=True)
class RecordRefused:
    """Result for a stored record that names no VM to use."""

    reason: str


@dataclass(frozen=True, slots=True, kw_only=True)
class HostRecord:
    """One VM, with the address of its daemon and its target.

    ``link_mbps`` is the rate of the VM's link in Mbit/s, ``crashes`` are the latest
    crashes of its targets. ``daemon_start`` is the start of the daemon that wrote the
    record, None if its build doesn't write it.
    """

    host: HostId
    address: Address
    data_centre: DataCentre
    region: Region
    service: ServiceName
    target: TargetId
    start_time_ms: int
    slots: int
    state: TargetState
    link_mbps: int
    crashes: tuple[TargetCrash, ...] = ()
    daemon_start: DaemonStart | None = None

    @property
    def incarnation(self) -> Incarnation:
        """The incarnation of the target."""
        return self.target, self.start_time_ms


def encode_record(record: HostRecord) -> bytes:
    """Return the stored form of ``record``: two CBOR items, one after the other.

    Builds without the second item, the list of what was added later, read the first.
    """
    first = cbor2.dumps(
        [
            str(record.address),
            record.data_centre,
            record.region,
            record.service,
            record.target,
            record.start_time_ms,
            record.slots,
            record.state.value,
            record.link_mbps,
            [
                [crash.target, crash.start_time_ms, list(crash.fingerprints)]
                for crash in record.crashes
            ],
        ]
    )
    added = () if record.daemon_start is None else (record.daemon_start,)
    return first + cbor2.dumps(added) if added else first


def decode_record(host: HostId, data: bytes) -> HostRecord | RecordRefused:
    """Return the record of ``host`` in ``data``, or why it names no VM to use.

    Any writer of the store may have written ``data``.
    """
    try:
        return _decode_items(host, *_cbor_items(data))
    except (ProtocolError, ValueError) as error:
        return RecordRefused(reason=str(error))


def _cbor_items(data: bytes) -> tuple[list[Any], list[Any]]:
    """Return the items of a record; the second one is empty if it is missing."""
    decoder = cbor2.CBORDecoder(
        BytesIO(data), max_depth=MAX_RECORD_DEPTH, allow_indefinite=False
    )
    try:
        first = decoder.decode()
    except Exception as error:
        # The decoder raises many types of exceptions for malicious bytes.
        raise ProtocolError(f"not valid CBOR: {type(error).__name__}") from error
    try:
        second = decoder.decode()
    except cbor2.CBORDecodeEOF:
        second = []
    except Exception as error:
        raise ProtocolError(f"not valid CBOR: {type(error).__name__}") from error
    return (
        cborcodec.items(first, at_least=RECORD_FIELDS, limit=RECORD_FIELDS),
        cborcodec.items(second),
    )


def _decode_items(host: HostId, fields: list[Any], added: list[Any]) -> HostRecord:
    address, data_centre, region, service, target, start_time_ms, *more = fields
    slots, state, link_mbps, crashes = more
    return HostRecord(
        host=ranges.name(host),
        address=parse_address(ranges.name(address)),
        data_centre=DataCentre(ranges.name(data_centre)),
        region=Region(ranges.name(region)),
        service=ServiceName(ranges.name(service)),
        target=TargetId(ranges.name(target)),
        start_time_ms=ranges.integer(start_time_ms, high=ranges.MAX_TIMESTAMP_MS),
        slots=ranges.integer(slots, 1, ranges.MAX_SLOTS),
        state=ranges.member(state, TargetState),
        link_mbps=ranges.integer(link_mbps, high=ranges.MAX_LINK_MBPS),
        crashes=tuple(
            _decode_crash(*cborcodec.items(each, at_least=3, limit=3))
            for each in cborcodec.items(crashes, limit=MAX_RECORD_CRASHES)
        ),
        daemon_start=DaemonStart(ranges.token(added[0])) if added else None,
    )


def _decode_crash(
    target: object, start_time_ms: object, fingerprints: object
) -> TargetCrash:
    return TargetCrash(
        target=TargetId(ranges.name(target)),
        start_time_ms=ranges.integer(start_time_ms, high=ranges.MAX_TIMESTAMP_MS),
        fingerprints=tuple(
            cborcodec.octets(each, limit=FINGERPRINT_BYTES)
            for each in cborcodec.items(fingerprints, limit=ranges.MAX_SLOTS)
        ),
    )
