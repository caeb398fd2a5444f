"""The record that each daemon publishes about itself and its target.

Each VM has one record in the store, written only by the daemon of that VM. Two writers
can therefore only race if they are two incarnations of the same daemon.
"""

from dataclasses import dataclass
from enum import Enum
from io import BytesIO

import cbor2

from ..ids import DaemonStart, DataCentre, Region, ServiceName, TargetId
from .fingerprints import Fingerprint

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
class HostRecord:
    """One VM, with the address of its daemon and its target.

    ``link_mbps`` is the rate of the VM's link in Mbit/s, ``crashes`` are the latest
    crashes of its targets. ``daemon_start`` is the start of the daemon that wrote the
    record, None if its build doesn't write it.
    """

    host: HostId
    address: str
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
            record.address,
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


def decode_record(host: HostId, data: bytes) -> HostRecord | None:
    """Return the record of ``host``, None if ``data`` is malformed."""
    try:
        decoder = cbor2.CBORDecoder(BytesIO(data))
        fields = decoder.decode()
        address, data_centre, region, service, target, start_time_ms, *more = fields
        slots, state, link, crashes = more
        texts = (address, data_centre, region, service, target)
        if not all(isinstance(text, str) for text in texts):
            return None
        if not all(isinstance(number, int) for number in (start_time_ms, slots, link)):
            return None
        if slots < 1:
            return None
        return HostRecord(
            host=host,
            address=address,
            data_centre=DataCentre(data_centre),
            region=Region(region),
            service=ServiceName(service),
            target=TargetId(target),
            start_time_ms=start_time_ms,
            slots=slots,
            state=TargetState(state),
            link_mbps=link,
            crashes=tuple(_decode_crash(*each) for each in crashes),
            daemon_start=_decode_daemon_start(decoder),
        )
    except (cbor2.CBORDecodeError, TypeError, ValueError):
        return None


def _decode_daemon_start(decoder: cbor2.CBORDecoder) -> DaemonStart | None:
    """Return the start in the second item, None if there is no such item."""
    try:
        added = decoder.decode()
    except cbor2.CBORDecodeEOF:
        return None
    if not isinstance(added, list) or not added or not isinstance(added[0], str):
        raise ValueError("start of the daemon is not a text")
    return DaemonStart(added[0])


def _decode_crash(
    target: object, start_time_ms: object, fingerprints: object
) -> TargetCrash:
    if not isinstance(target, str) or not isinstance(start_time_ms, int):
        raise ValueError("target id or start time of a target crash has the wrong type")
    if not isinstance(fingerprints, list):
        raise ValueError("fingerprints of a target crash are not a list")
    if not all(isinstance(each, bytes) for each in fingerprints):
        raise ValueError("fingerprint is not a byte string")
    return TargetCrash(
        target=TargetId(target),
        start_time_ms=start_time_ms,
        fingerprints=tuple(fingerprints),
    )
