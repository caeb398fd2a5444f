"""Versions over the relay tree.

The newer end of a link sends what the other lacks; a receiver passes it on at once
to its other links. Every link remembers what its peer holds or has been sent, so a
change crosses it once.
"""

from absl import logging

from .. import metrics
from ..ids import NO_VERSION, Version
from ..protocol.messages import (
    ConfigPull,
    ConfigRefused,
    Deltas,
    Hello,
    SnapshotMessage,
    VersionInForce,
)
from ..state.lists import Delta, Snapshot
from ..state.versions import (
    AppliedVersion,
    RefusedVersion,
    VersionedLists,
    VersionRefusal,
)
from .links import LinkRole, Links, PeerLink

# A peer that refuses what it gets must not draw snapshots in a loop.
_PULL_EVERY = 1.0  # seconds


class Distribution:
    """Applies versions from links and ``offer`` and forwards them."""

    def __init__(self, *, lists: VersionedLists, links: Links) -> None:
        self.lists = lists
        self._links = links
        self._reported: ConfigRefused | None = None

    def offer(self, item: Delta | Snapshot) -> AppliedVersion | RefusedVersion:
        """Apply a version from the store or the command line and pass it on."""
        if isinstance(item, Snapshot):
            outcome = self.lists.apply_snapshot(item)
        else:
            outcome = self.lists.apply_delta(item)
        self._after(outcome, source=None)
        return outcome

    def refuse_unread(self, version: Version, reason: VersionRefusal) -> None:
        """Report a version of the store that could not be read."""
        self._after(self.lists.refuse_unread(version, reason), source=None)

    # Links.

    def greet(self, link: PeerLink, hello: Hello) -> None:
        """Bring a peer that has just connected up to date."""
        if hello.version == self.lists.version != NO_VERSION:
            self._check_same_content(link, hello)
        self._send_missing(link)

    def attached(self, link: PeerLink) -> None:
        """Tell a new parent the version in force and a refusal that still matters."""
        # What came before the attachment was not confirmed on this link.
        self._links.send(link, VersionInForce(self.lists.version))
        if self._reported is not None and self.lists.last_refusal is not None:
            self._links.send(link, self._reported)

    def receive_deltas(self, link: PeerLink, message: Deltas) -> None:
        """Apply deltas; pull what lies between if they do not connect."""
        if not message.deltas:
            return
        newest = message.deltas[-1].version
        link.version = max(link.version, newest)
        link.confirmed = max(link.confirmed, newest)
        if newest <= self.lists.version:
            metrics.VERSIONS_REFUSED.labels(VersionRefusal.STALE.value).inc()
            self._confirm(link)
            return
        self._after(self.lists.apply_deltas(message.deltas), source=link)

    def receive_snapshot(self, link: PeerLink, message: SnapshotMessage) -> None:
        """Apply a snapshot."""
        version = message.snapshot.version
        link.version = max(link.version, version)
        link.confirmed = max(link.confirmed, version)
        self._after(self.lists.apply_snapshot(message.snapshot), source=link)

    def receive_have(self, link: PeerLink, message: VersionInForce) -> None:
        """Note what a peer confirms."""
        link.confirmed = max(link.confirmed, message.version)
        link.version = max(link.version, message.version)
        if link.refusal and link.refusal.version <= message.version:
            link.refusal = None
        if message.version > self.lists.version:
            self._pull(link, snapshot=False)

    def receive_pull(self, link: PeerLink, message: ConfigPull) -> None:
        """Send again from the version that the peer really holds."""
        link.confirmed = link.version = message.version
        if message.snapshot and message.version < self.lists.version:
            link.version = self.lists.version
            self._links.send(link, SnapshotMessage(self.lists.snapshot()))
            return
        self._send_missing(link)

    def compare(self, link: PeerLink, version: Version) -> None:
        """Anti-entropy: repair whichever end is behind."""
        if version > self.lists.version:
            self._pull(link, snapshot=False)
        elif version < self.lists.version:
            link.version = version
            self._send_missing(link)

    def receive_refused(self, link: PeerLink, message: ConfigRefused) -> None:
        """Remember why a peer does not follow."""
        if link.refusal != message:
            logging.warning(
                "%s refused version %d: %s %s",
                link.daemon,
                message.version,
                message.reason,
                message.detail,
            )
        link.refusal = message

    # Decisions.

    def _after(
        self, outcome: AppliedVersion | RefusedVersion, *, source: PeerLink | None
    ) -> None:
        if isinstance(outcome, AppliedVersion):
            self._reported = None
            for link in self._links.ready():
                if link is not source:
                    self._send_missing(link)
            if source is not None:
                self._confirm(source)
            return
        if outcome.reason is VersionRefusal.STALE:
            if source is not None:
                self._confirm(source)
            return
        if outcome.reason is VersionRefusal.GAP:
            if source is not None:
                self._pull(source, snapshot=False)
            return
        self._report(outcome)
        if source is not None and outcome.reason is VersionRefusal.DIGEST:
            self._pull(source, snapshot=True)

    def _report(self, refused: RefusedVersion) -> None:
        report = ConfigRefused(
            refused.version, refused.reason.value, refused.detail[:1024]
        )
        if report == self._reported:
            return
        self._reported = report
        logging.error(
            "refused version %d: %s %s; version %d stays in force",
            refused.version,
            refused.reason.value,
            refused.detail,
            self.lists.version,
        )
        if self._links.parent is not None:
            self._links.send(self._links.parent, report)

    def _send_missing(self, link: PeerLink) -> None:
        if link.version >= self.lists.version:
            return
        deltas = self.lists.deltas_since(link.version)
        link.version = self.lists.version
        if deltas is None:
            self._links.send(link, SnapshotMessage(self.lists.snapshot()))
        else:
            self._links.send(link, Deltas(tuple(deltas)))

    def _confirm(self, link: PeerLink) -> None:
        if link.role is not LinkRole.PEER:
            self._links.send(link, VersionInForce(self.lists.version))

    def _pull(self, link: PeerLink, *, snapshot: bool) -> None:
        now = self._links.clock.now()
        if now - link.pulled_at < _PULL_EVERY:
            return
        link.pulled_at = now
        self._links.send(link, ConfigPull(self.lists.version, snapshot))

    def _check_same_content(self, link: PeerLink, hello: Hello) -> None:
        if hello.digest == self.lists.lists.digest:
            return
        # Two contents under one version can only come from a damaged store or a
        # daemon of another fleet; neither end is trusted over the other.
        logging.error("%s holds other content as version %d", link.daemon, link.version)
        metrics.VERSIONS_REFUSED.labels(VersionRefusal.DIGEST.value).inc()
