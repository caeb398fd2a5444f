"""Wire form of quarantine notices, which the control plane floods to all daemons."""

from typing import Any, Protocol

import cbor2
from absl import logging

from ...exceptions import ProtocolError
from .. import metrics
from ..ids import TargetId
from .crash_records import QUARANTINE_SECONDS
from .quarantine import ClearNotice, CrashNotice, Notice, Quarantine

KIND = "quarantine"
_CRASH = 1
_CLEAR = 2


def encode_notice(notice: Notice) -> bytes:
    """Return the payload of a notice.

    The age is left out: the receiver derives it from the remaining time of the flood.
    """
    if isinstance(notice, CrashNotice):
        fields: list[Any] = [
            _CRASH,
            notice.target,
            notice.start_time,
            list(notice.fingerprints),
        ]
    else:
        crashes = [list(crash) for crash in notice.crashes]
        fields = [_CLEAR, notice.fingerprint, crashes]
    return cbor2.dumps(fields)


def decode_notice(payload: bytes, *, age: float) -> Notice:
    """Return the notice published ``age`` seconds ago; raise ``ProtocolError``."""
    try:
        fields = cbor2.loads(payload)
        if fields[0] == _CRASH:
            return CrashNotice(
                target=TargetId(str(fields[1])),
                start_time=float(fields[2]),
                fingerprints=tuple(bytes(each) for each in fields[3]),
                age=age,
            )
        if fields[0] == _CLEAR:
            return ClearNotice(
                fingerprint=bytes(fields[1]),
                crashes=tuple(
                    (TargetId(str(target)), float(start_time))
                    for target, start_time in fields[2]
                ),
            )
    except (cbor2.CBORDecodeError, LookupError, TypeError, ValueError) as error:
        raise ProtocolError(f"malformed quarantine notice: {error!r}") from None
    raise ProtocolError(f"unknown quarantine notice type {fields[0]!r}")


class PublishNotice(Protocol):
    """Floods a payload to all daemons for ``ttl`` seconds."""

    def __call__(self, *, kind: str, payload: bytes, ttl: float) -> Any: ...


class QuarantineFlood:
    """Sends and receives the notices of a quarantine over the control plane."""

    def __init__(self, *, publish: PublishNotice) -> None:
        self._publish = publish
        self._receiving = False
        self.quarantine: Quarantine | None = None

    def publish(self, notice: Notice) -> None:
        """Flood a notice of this daemon.

        Notices that are being received are skipped: the quarantine publishes them
        again, but the control plane already forwards them.
        """
        if not self._receiving:
            payload = encode_notice(notice)
            self._publish(kind=KIND, payload=payload, ttl=QUARANTINE_SECONDS)

    def receive(self, kind: str, payload: bytes, seconds_left: float) -> None:
        """Pass a notice of another daemon to the quarantine.

        ``seconds_left`` is the remaining time of the flood.
        """
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
