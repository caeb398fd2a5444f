"""Wire form of quarantine notices, flooded by the control plane."""

from typing import Any

import cbor2

from ...exceptions import ProtocolError
from ..ids import TargetId
from .quarantine import DeathNotice, LiftNotice, Notice

KIND = "quarantine"
_DEATH = 1
_LIFT = 2


def encode_notice(notice: Notice) -> bytes:
    """Return the payload; the age is left out, the flood knows the time passed."""
    if isinstance(notice, DeathNotice):
        fields: list[Any] = [
            _DEATH,
            notice.target,
            notice.started,
            list(notice.fingerprints),
        ]
    else:
        deaths = [list(death) for death in notice.deaths]
        fields = [_LIFT, notice.fingerprint, deaths]
    return cbor2.dumps(fields)


def decode_notice(payload: bytes, *, age: float) -> Notice:
    """Return the notice published ``age`` seconds ago; raise ``ProtocolError``."""
    try:
        fields = cbor2.loads(payload)
        if fields[0] == _DEATH:
            return DeathNotice(
                target=TargetId(str(fields[1])),
                started=float(fields[2]),
                fingerprints=tuple(bytes(each) for each in fields[3]),
                age=age,
            )
        if fields[0] == _LIFT:
            return LiftNotice(
                fingerprint=bytes(fields[1]),
                deaths=tuple(
                    (TargetId(str(target)), float(started))
                    for target, started in fields[2]
                ),
            )
    except (cbor2.CBORDecodeError, LookupError, TypeError, ValueError) as error:
        raise ProtocolError(f"malformed quarantine notice: {error!r}") from None
    raise ProtocolError(f"unknown quarantine notice {fields[0]!r}")
