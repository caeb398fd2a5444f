"""Wire form of quarantine notices, flooded by the control plane."""

from typing import Any, Protocol

import cbor2
from absl import logging

from ...exceptions import ProtocolError
from .. import metrics
from ..ids import TargetId
from .quarantine import DeathNotice, LiftNotice, Notice, Quarantine
from .strikes import QUARANTINE_SECONDS

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


class PublishNotice(Protocol):
    """Floods a payload to all daemons for ``ttl`` seconds."""

    def __call__(self, *, kind: str, payload: bytes, ttl: float) -> Any: ...


class QuarantineFlood:
    """Carries the notices of a quarantine over the control plane."""

    def __init__(self, *, publish: PublishNotice) -> None:
        self._publish = publish
        self._receiving = False
        self.quarantine: Quarantine | None = None

    def publish(self, notice: Notice) -> None:
        """Flood a notice of this daemon."""
        # The quarantine passes on what it receives, as does the control plane; one
        # flood is enough.
        if not self._receiving:
            payload = encode_notice(notice)
            self._publish(kind=KIND, payload=payload, ttl=QUARANTINE_SECONDS)

    def receive(self, kind: str, payload: bytes, seconds_left: float) -> None:
        """Hand a notice of another daemon to the quarantine."""
        if kind != KIND or self.quarantine is None:
            return
        try:
            notice = decode_notice(payload, age=QUARANTINE_SECONDS - seconds_left)
        except ProtocolError as error:
            metrics.MESSAGES_REFUSED.labels("malformed_notice").inc()
            logging.warning("%s", error)
            return
        self._receiving = True
        try:
            self.quarantine.receive(notice)
        finally:
            self._receiving = False
