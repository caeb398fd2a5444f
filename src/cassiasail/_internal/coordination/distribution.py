"""Distribution of configuration versions over the relay tree.

The end of a link with the newer version sends the other end what it lacks. A daemon
that applies a version forwards it at once on its other links. For every link it keeps
the version that the peer has or was sent, so a change crosses a link only once.
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

# Limits the snapshots sent to a peer that refuses each of them.
_PULL_INTERVAL = 1.0  # seconds


class VersionDistribution:
    """Applies versions from peers, the store and the command line; forwards them."""

    def __init__(self, *, versions: VersionedLists, links: Links) -> None:
        self.versions = versions
        self._links = links
        self._last_reported: ConfigRefused | None = None

    def apply_and_forward(
        self, item: Delta | Snapshot
    ) -> AppliedVersion | RefusedVersion:
        """Apply a version from the store or the command line and forward it."""
        if isinstance(item, Snapshot):
            outcome = self.versions.apply_snapshot(item)
        else:
            outcome = self.versions.apply_delta(item)
        self._handle_outcome(outcome, source=None)
        return outcome

    def refuse_unreadable(self, version: Version, reason: VersionRefusal) -> None:
        """Refuse a version of the store that could not be read, and report that."""
        self._handle_outcome(
            self.versions.refuse_unreadable(version, reason), source=None
        )

    # Links.

    def receive_hello(self, link: PeerLink, hello: Hello) -> None:
        """Send a newly connected peer what it lacks."""
        if hello.version == self.versions.version != NO_VERSION:
            self._check_same_content(link, hello)
        self._send_missing(link)

    def parent_attached(self, link: PeerLink) -> None:
        """Send a new parent the version in force and a refusal that still applies."""
        # Versions received before the attachment were not confirmed on this link.
        self._links.send(link, VersionInForce(self.versions.version))
        if self._last_reported is not None and self.versions.last_refusal is not None:
            self._links.send(link, self._last_reported)

    def receive_deltas(self, link: PeerLink, message: Deltas) -> None:
        """Apply deltas; request the missing versions if there is a gap before them."""
        if not message.deltas:
            return
        newest = message.deltas[-1].version
        link.expected_version = max(link.expected_version, newest)
        link.confirmed_version = max(link.confirmed_version, newest)
        if newest <= self.versions.version:
            metrics.VERSIONS_REFUSED.labels(VersionRefusal.STALE.value).inc()
            self._confirm(link)
            return
        self._handle_outcome(self.versions.apply_deltas(message.deltas), source=link)

    def receive_snapshot(self, link: PeerLink, message: SnapshotMessage) -> None:
        """Apply a snapshot."""
        version = message.snapshot.version
        link.expected_version = max(link.expected_version, version)
        link.confirmed_version = max(link.confirmed_version, version)
        self._handle_outcome(
            self.versions.apply_snapshot(message.snapshot), source=link
        )

    def receive_have(self, link: PeerLink, message: VersionInForce) -> None:
        """Store the version that a peer confirms; request it if it is newer."""
        link.confirmed_version = max(link.confirmed_version, message.version)
        link.expected_version = max(link.expected_version, message.version)
        if link.refusal and link.refusal.version <= message.version:
            link.refusal = None
        if message.version > self.versions.version:
            self._send_pull(link, snapshot=False)

    def receive_pull(self, link: PeerLink, message: ConfigPull) -> None:
        """Send everything after the version that the peer states in its request."""
        link.confirmed_version = link.expected_version = message.version
        if message.snapshot and message.version < self.versions.version:
            link.expected_version = self.versions.version
            self._links.send(link, SnapshotMessage(self.versions.snapshot()))
            return
        self._send_missing(link)

    def repair_versions(self, link: PeerLink, version: Version) -> None:
        """Compare versions with a peer and update the end with the older one."""
        if version > self.versions.version:
            self._send_pull(link, snapshot=False)
        elif version < self.versions.version:
            link.expected_version = version
            self._send_missing(link)

    def receive_refused(self, link: PeerLink, message: ConfigRefused) -> None:
        """Store why a peer refused a version."""
        if link.refusal != message:
            logging.warning(
                "%s refused version %d: %s %s",
                link.daemon,
                message.version,
                message.reason,
                message.detail,
            )
        link.refusal = message

    # Outcomes.

    def _handle_outcome(
        self, outcome: AppliedVersion | RefusedVersion, *, source: PeerLink | None
    ) -> None:
        """Forward an applied version; confirm, repair or report a refused one.

        ``source`` is the link on which the version arrived, None for a version from
        the store or the command line.
        """
        if isinstance(outcome, AppliedVersion):
            self._last_reported = None
            for link in self._links.identified():
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
                self._send_pull(source, snapshot=False)
            return
        self._report_refusal(outcome)
        if source is not None and outcome.reason is VersionRefusal.DIGEST:
            self._send_pull(source, snapshot=True)

    def _report_refusal(self, refused: RefusedVersion) -> None:
        """Log a refusal and send it to the parent, unless it was the last one sent."""
        refusal = ConfigRefused(
            refused.version, refused.reason.value, refused.detail[:1024]
        )
        if refusal == self._last_reported:
            return
        self._last_reported = refusal
        logging.error(
            "refused version %d: %s %s; version %d stays in force",
            refused.version,
            refused.reason.value,
            refused.detail,
            self.versions.version,
        )
        if self._links.parent is not None:
            self._links.send(self._links.parent, refusal)

    def _send_missing(self, link: PeerLink) -> None:
        """Send the deltas that the peer lacks, or a snapshot if they were dropped."""
        if link.expected_version >= self.versions.version:
            return
        deltas = self.versions.deltas_since(link.expected_version)
        link.expected_version = self.versions.version
        if deltas is None:
            self._links.send(link, SnapshotMessage(self.versions.snapshot()))
        else:
            self._links.send(link, Deltas(tuple(deltas)))

    def _confirm(self, link: PeerLink) -> None:
        """Send the version in force to a parent or child."""
        if link.role is not LinkRole.PEER:
            self._links.send(link, VersionInForce(self.versions.version))

    def _send_pull(self, link: PeerLink, *, snapshot: bool) -> None:
        """Request what this daemon lacks, at most once per ``_PULL_INTERVAL``."""
        now = self._links.clock.now()
        if now - link.last_pull_at < _PULL_INTERVAL:
            return
        link.last_pull_at = now
        self._links.send(link, ConfigPull(self.versions.version, snapshot))

    def _check_same_content(self, link: PeerLink, hello: Hello) -> None:
        """Log a peer that has other content for the version in force."""
        if hello.digest == self.versions.lists.digest:
            return
        # Different content under one version number means a damaged store or a daemon
        # of another fleet. It is unknown which end is right, so neither is changed.
        logging.error(
            "%s has different content for version %d",
            link.daemon,
            link.expected_version,
        )
        metrics.VERSIONS_REFUSED.labels(VersionRefusal.DIGEST.value).inc()
