"""Notices: small items flooded to every daemon, kept until they expire."""

from collections.abc import Callable
from dataclasses import dataclass

from ..protocol.messages import Notice
from .links import Links, PeerLink

# Bounds the memory taken by a peer that publishes without end: 1,024 * 4 KiB.
MAX_NOTICES = 1024
MAX_TTL = 3600.0  # seconds

NoticeCallback = Callable[[str, bytes, float], None]


@dataclass(slots=True)
class _Kept:
    kind: str
    payload: bytes
    expires_at: float


class Notices:
    """Living notices by id. The callback receives kind, payload, seconds left."""

    def __init__(self, *, links: Links, on_notice: NoticeCallback) -> None:
        self._links = links
        self._on_notice = on_notice
        self._kept_by_id: dict[bytes, _Kept] = {}

    def publish(self, *, kind: str, payload: bytes, ttl: float) -> bytes:
        """Flood a new notice; return its id."""
        id_ = self._links.rng.randbytes(8)
        self._keep(Notice(id_, kind, payload, int(min(ttl, MAX_TTL) * 1000)))
        self._flood(id_, source=None)
        return id_

    def receive(self, link: PeerLink, notice: Notice) -> None:
        """Keep, hand over and pass on a notice that is new here."""
        if notice.id in self._kept_by_id or notice.ttl_ms == 0:
            return
        if not self._keep(notice):
            return
        self._on_notice(notice.kind, notice.payload, notice.ttl_ms / 1000)
        self._flood(notice.id, source=link)

    def greet(self, link: PeerLink) -> None:
        """Send everything that lives to a peer that has just connected."""
        for id_ in list(self._kept_by_id):
            self._send(link, id_)

    def expire(self) -> None:
        """Drop notices whose life is over."""
        now = self._links.clock.now()
        for id_ in [i for i, kept in self._kept_by_id.items() if kept.expires_at < now]:
            del self._kept_by_id[id_]

    def _keep(self, notice: Notice) -> bool:
        if len(self._kept_by_id) >= MAX_NOTICES:
            return False
        ttl = min(notice.ttl_ms / 1000, MAX_TTL)
        self._kept_by_id[notice.id] = _Kept(
            kind=notice.kind,
            payload=notice.payload,
            expires_at=self._links.clock.now() + ttl,
        )
        return True

    def _flood(self, id_: bytes, *, source: PeerLink | None) -> None:
        for link in self._links.ready():
            if link is not source:
                self._send(link, id_)

    def _send(self, link: PeerLink, id_: bytes) -> None:
        kept = self._kept_by_id[id_]
        left = int((kept.expires_at - self._links.clock.now()) * 1000)
        if left > 0:
            self._links.send(link, Notice(id_, kept.kind, kept.payload, left))
