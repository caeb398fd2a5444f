"""Notices: small messages flooded to every daemon and kept until they expire."""

from collections.abc import Callable
from dataclasses import dataclass

from absl import logging

from ..protocol.messages import Notice
from .links import Links, PeerLink

# Limits the memory used if a peer publishes without end to 1,024 * 4 KiB.
MAX_NOTICES = 1024
MAX_TTL_SECONDS = 3600.0

NoticeCallback = Callable[[str, bytes, float], None]


@dataclass(slots=True)
class _StoredNotice:
    kind: str
    payload: bytes
    expires_at: float


class Notices:
    """Unexpired notices by id.

    ``on_notice`` receives kind, payload and remaining seconds of each new notice.
    """

    def __init__(self, *, links: Links, on_notice: NoticeCallback) -> None:
        self._links = links
        self._on_notice = on_notice
        self._notice_by_id: dict[bytes, _StoredNotice] = {}

    def publish(self, *, kind: str, payload: bytes, ttl: float) -> bytes:
        """Send a new notice to all daemons; return its id.

        If too many are stored, it replaces the one that expires first: a decision of
        this daemon must reach the others.
        """
        if len(self._notice_by_id) >= MAX_NOTICES:
            first = min(
                self._notice_by_id, key=lambda each: self._notice_by_id[each].expires_at
            )
            del self._notice_by_id[first]
            logging.warning("too many notices; dropped the one that expires first")
        notice_id = self._links.rng.randbytes(8)
        self._store(
            Notice(notice_id, kind, payload, int(min(ttl, MAX_TTL_SECONDS) * 1000))
        )
        self._flood(notice_id, source=None)
        return notice_id

    def receive(self, link: PeerLink, notice: Notice) -> None:
        """Store and forward a notice and call ``on_notice``, unless it is known."""
        if notice.id in self._notice_by_id or notice.ttl_ms == 0:
            return
        if not self._store(notice):
            return
        self._on_notice(notice.kind, notice.payload, notice.ttl_ms / 1000)
        self._flood(notice.id, source=link)

    def send_all(self, link: PeerLink) -> None:
        """Send all unexpired notices to a newly connected peer."""
        for notice_id in list(self._notice_by_id):
            self._send(link, notice_id)

    def expire(self) -> None:
        """Drop expired notices."""
        now = self._links.clock.now()
        for notice_id in [
            i for i, stored in self._notice_by_id.items() if stored.expires_at < now
        ]:
            del self._notice_by_id[notice_id]

    def _store(self, notice: Notice) -> bool:
        """Store a notice; return False if there are too many."""
        if len(self._notice_by_id) >= MAX_NOTICES:
            return False
        ttl = min(notice.ttl_ms / 1000, MAX_TTL_SECONDS)
        self._notice_by_id[notice.id] = _StoredNotice(
            kind=notice.kind,
            payload=notice.payload,
            expires_at=self._links.clock.now() + ttl,
        )
        return True

    def _flood(self, notice_id: bytes, *, source: PeerLink | None) -> None:
        for link in self._links.identified():
            if link is not source:
                self._send(link, notice_id)

    def _send(self, link: PeerLink, notice_id: bytes) -> None:
        stored = self._notice_by_id[notice_id]
        remaining_ms = int((stored.expires_at - self._links.clock.now()) * 1000)
        if remaining_ms > 0:
            self._links.send(
                link, Notice(notice_id, stored.kind, stored.payload, remaining_ms)
            )
