"""What a daemon publishes about itself and the target beside it.

Each VM has one record in the store, written only by its own daemon, so that two
writers never race for it except over two lives of one daemon.
"""

from dataclasses import dataclass
from enum import Enum

import cbor2

from ..ids import DataCentre, Region, ServiceName, TargetId
from .fingerprints import Fingerprint

HostId = str
# One start of one target: its id and the Unix time in milliseconds of the start.
Life = tuple[TargetId, int]


class TargetState(Enum):
    """Whether a target takes new requests; the value is the stored one.

    A ``SUSPENDED`` target is not to be used for now, because its daemon restarts or
    hears nothing from it; the same life of it may be ready again. A ``LEAVING`` or
    ``ABSENT`` one is not used again in this life.
    """

    READY = "ready"
    SUSPENDED = "suspended"
    LEAVING = "leaving"
    ABSENT = "absent"


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetDeath:
    """A target process that died, and the requests that it ran then."""

    target: TargetId
    born: int
    fingerprints: tuple[Fingerprint, ...]

    @property
    def life(self) -> Life:
        """The start of the target that ended."""
        return self.target, self.born


@dataclass(frozen=True, slots=True, kw_only=True)
class HostRecord:
    """One VM: how its daemon is reached and which target it serves.

    ``link_mbps`` is the rate of its link in Mbit/s, ``deaths`` the last deaths of
    its targets.
    """

    host: HostId
    address: str
    data_centre: DataCentre
    region: Region
    service: ServiceName
    target: TargetId
    born: int
    slots: int
    state: TargetState
    link_mbps: int
    deaths: tuple[TargetDeath, ...] = ()

    @property
    def life(self) -> Life:
        """The start of the target that is served."""
        return self.target, self.born


def encode_record(record: HostRecord) -> bytes:
    """Return the stored form of ``record``."""
    return cbor2.dumps(
        [
            record.address,
            record.data_centre,
            record.region,
            record.service,
            record.target,
            record.born,
            record.slots,
            record.state.value,
            record.link_mbps,
            [
                [death.target, death.born, list(death.fingerprints)]
                for death in record.deaths
            ],
        ]
    )


def decode_record(host: HostId, data: bytes) -> HostRecord | None:
    """Return the record of ``host``, None if the bytes are not one."""
    try:
        fields = cbor2.loads(data)
        address, data_centre, region, service, target, born, *more = fields
        slots, state, link, deaths = more
        texts = (address, data_centre, region, service, target)
        if not all(isinstance(text, str) for text in texts):
            return None
        if not all(isinstance(number, int) for number in (born, slots, link)):
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
            born=born,
            slots=slots,
            state=TargetState(state),
            link_mbps=link,
            deaths=tuple(_death(*each) for each in deaths),
        )
    except (cbor2.CBORDecodeError, TypeError, ValueError):
        return None


def _death(target: object, born: object, fingerprints: object) -> TargetDeath:
    if not isinstance(target, str) or not isinstance(born, int):
        raise ValueError("a death needs the id and the start of a target")
    if not isinstance(fingerprints, list):
        raise ValueError("a death needs a list of fingerprints")
    if not all(isinstance(each, bytes) for each in fingerprints):
        raise ValueError("a fingerprint is not bytes")
    return TargetDeath(
        target=TargetId(target), born=born, fingerprints=tuple(fingerprints)
    )
