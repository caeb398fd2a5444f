"""Status reports up the relay tree, and the fleet status they add up to."""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass

from ..ids import DaemonId, DataCentre, Version
from ..protocol.messages import LaggingDaemon, StatusReport
from ..state.members import MemberTable
from ..state.versions import RefusedVersion, VersionedLists
from .attachment import Attachment
from .links import Links, PeerLink

MAX_LAGGING_DAEMONS = 32
# A child that confirms a version within this time is not listed as lagging.
_LAGGING_AFTER = 2.0  # seconds


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetStatus:
    """The state of the fleet as this daemon sees it.

    ``scope`` is ``fleet`` on the root, ``region`` on the head of a region,
    ``data_centre`` on other heads and ``subtree`` on all other daemons.
    ``version_counts_by_data_centre`` and ``lagging_daemons`` cover only the subtree of
    this daemon, ``members_by_data_centre`` all members.
    """

    scope: str
    version: Version
    version_counts_by_data_centre: Mapping[DataCentre, Mapping[Version, int]]
    members_by_data_centre: Mapping[DataCentre, int]
    lagging_daemons: tuple[LaggingDaemon, ...]
    refused: RefusedVersion | None
    unreachable: frozenset[DataCentre]
    parent: DaemonId | None
    children: int


class StatusCollector:
    """Adds up the status reports of the children and sends the sum to the parent."""

    def __init__(
        self,
        *,
        table: MemberTable,
        versions: VersionedLists,
        links: Links,
        attachment: Attachment,
    ) -> None:
        self._table = table
        self._versions = versions
        self._links = links
        self._attachment = attachment
        self._next_report_at = -1e9
        self._last_sent_state: tuple[object, ...] | None = None
        self._last_sent_attached: tuple[DaemonId, ...] | None = None

    def receive(self, link: PeerLink, report: StatusReport) -> None:
        """Store the status report of a child."""
        link.status_report = report
        if report.children is not None:
            link.attached_children = frozenset(report.children)

    def force_full_report(self) -> None:
        """Send everything in the next status report, because the parent is new."""
        self._last_sent_state = None
        self._last_sent_attached = None

    def tick(self) -> None:
        """Send a changed status report to the parent, at most once per interval."""
        parent = self._links.parent
        now = self._links.clock.now()
        if parent is None or now < self._next_report_at:
            return
        # The comparison takes too much time for every tick of a head.
        self._next_report_at = now + self._links.options.status_interval / 4
        children = list(self._links.children())
        if not children and self._last_sent_state is None:
            # A leaf sends no report; the parent counts it with its confirmed version.
            return
        counts, lagging_daemons = (
            self._count_versions(children),
            self._lagging_daemons(children),
        )
        attached = tuple(sorted(link.daemon for link in children if link.daemon))
        state = (counts, lagging_daemons, attached)
        if state == self._last_sent_state:
            return
        attached_changed = attached != self._last_sent_attached
        self._last_sent_state, self._last_sent_attached = state, attached
        self._next_report_at = now + self._links.options.status_interval
        report = StatusReport(
            counts, lagging_daemons, attached if attached_changed else None
        )
        self._links.send(parent, report)

    def fleet_status(self) -> FleetStatus:
        """Return the state of the fleet as this daemon sees it."""
        children = list(self._links.children())
        members = Counter(record.data_centre for record in self._table.living())
        own_record = self._table.own_record
        tree = self._attachment.tree
        scope = "subtree"
        if self._attachment.is_root:
            scope = "fleet"
        elif tree.region_head_by_region.get(own_record.region) == own_record.id:
            scope = "region"
        elif self._attachment.is_head:
            scope = "data_centre"
        return FleetStatus(
            scope=scope,
            version=self._versions.version,
            version_counts_by_data_centre=self._count_versions(children),
            members_by_data_centre=dict(members),
            lagging_daemons=self._lagging_daemons(children),
            refused=self._versions.last_refusal,
            unreachable=self._table.unreachable,
            parent=self._links.parent.daemon if self._links.parent else None,
            children=len(children),
        )

    def _count_versions(
        self, children: list[PeerLink]
    ) -> dict[DataCentre, dict[Version, int]]:
        """Count the daemons of the subtree by data centre and version."""
        total: dict[DataCentre, dict[Version, int]] = {}

        def add(data_centre: DataCentre, version: Version, count: int) -> None:
            versions = total.setdefault(data_centre, {})
            versions[version] = versions.get(version, 0) + count

        add(self._table.own_record.data_centre, self._versions.version, 1)
        for link in children:
            if link.status_report is None and link.data_centre is not None:
                add(link.data_centre, link.confirmed_version, 1)
                continue
            for data_centre, versions in (
                link.status_report.counts_by_data_centre if link.status_report else {}
            ).items():
                for version, count in versions.items():
                    add(data_centre, version, count)
        return total

    def _lagging_daemons(self, children: list[PeerLink]) -> tuple[LaggingDaemon, ...]:
        """Return the lagging daemons of the subtree, each with its reason."""
        now = self._links.clock.now()
        lagging: list[LaggingDaemon] = []
        if self._versions.last_refusal is not None:
            reason = self._versions.last_refusal.reason.value
            lagging.append(
                LaggingDaemon(self._table.own_record.id, self._versions.version, reason)
            )
        for link in children:
            if link.status_report is not None:
                lagging += link.status_report.lagging_daemons
            if link.confirmed_version >= self._versions.version or link.daemon is None:
                link.lagging_since = None
                continue
            if link.lagging_since is None:
                link.lagging_since = now
            if link.refusal is not None:
                lagging.append(
                    LaggingDaemon(
                        link.daemon, link.confirmed_version, link.refusal.reason
                    )
                )
            elif now - link.lagging_since >= _LAGGING_AFTER:
                lagging.append(
                    LaggingDaemon(
                        link.daemon, link.confirmed_version, "no_confirmation"
                    )
                )
        unique = dict.fromkeys(lagging)
        return tuple(unique)[:MAX_LAGGING_DAEMONS]
