"""What the fleet runs: reports up the tree, and the view of this daemon."""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass

from ..ids import DaemonId, DataCentre, Version
from ..protocol.messages import LaggingDaemon, StatusReport
from ..state.members import MemberTable
from ..state.versions import RefusedVersion, VersionedLists
from .attachment import Attachment
from .links import Links, PeerLink

MAX_STRAGGLERS = 32
# A child that confirms within this time is not shown as a straggler.
_STRAGGLER_AFTER = 2.0  # seconds


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetStatus:
    """The fleet as far as this daemon knows.

    ``scope`` is ``fleet`` on the root, ``region`` and ``data_centre`` on heads, else
    ``subtree``. ``count_by_version`` counts the daemons that report to this one.
    """

    scope: str
    version: Version
    count_by_version: Mapping[DataCentre, Mapping[Version, int]]
    members_by_data_centre: Mapping[DataCentre, int]
    stragglers: tuple[LaggingDaemon, ...]
    refused: RefusedVersion | None
    unreachable: frozenset[DataCentre]
    parent: DaemonId | None
    children: int


class Status:
    """Collects the reports of children and sends the sum to the parent."""

    def __init__(
        self,
        *,
        table: MemberTable,
        lists: VersionedLists,
        links: Links,
        attachment: Attachment,
    ) -> None:
        self._table = table
        self._lists = lists
        self._links = links
        self._attachment = attachment
        self._next_at = -1e9
        self._sent: tuple[object, ...] | None = None
        self._sent_attached: tuple[DaemonId, ...] | None = None

    def receive(self, link: PeerLink, report: StatusReport) -> None:
        """Take over the report of a child."""
        link.report = report
        if report.children is not None:
            link.attached = frozenset(report.children)

    def reset(self) -> None:
        """Report in full again: the parent is a new one."""
        self._sent = None
        self._sent_attached = None

    def tick(self) -> None:
        """Report to the parent on change, at most once per interval."""
        parent = self._links.parent
        now = self._links.clock.now()
        if parent is None or now < self._next_at:
            return
        # Comparing what the children run costs time at every tick of a head.
        self._next_at = now + self._links.options.status_interval / 4
        children = list(self._links.children())
        if not children and self._sent is None:
            # The parent counts a leaf by what it confirms itself.
            return
        counts, stragglers = self._counts(children), self._stragglers(children)
        attached = tuple(sorted(link.daemon for link in children if link.daemon))
        state = (counts, stragglers, attached)
        if state == self._sent:
            return
        changed = attached != self._sent_attached
        self._sent, self._sent_attached = state, attached
        self._next_at = now + self._links.options.status_interval
        report = StatusReport(counts, stragglers, attached if changed else None)
        self._links.send(parent, report)

    def fleet(self) -> FleetStatus:
        """Return what this daemon knows about the fleet."""
        children = list(self._links.children())
        members = Counter(record.data_centre for record in self._table.living())
        own = self._table.own
        tree = self._attachment.tree
        scope = "subtree"
        if self._attachment.is_root:
            scope = "fleet"
        elif tree.region_head_by_region.get(own.region) == own.id:
            scope = "region"
        elif self._attachment.is_head:
            scope = "data_centre"
        return FleetStatus(
            scope=scope,
            version=self._lists.version,
            count_by_version=self._counts(children),
            members_by_data_centre=dict(members),
            stragglers=self._stragglers(children),
            refused=self._lists.last_refusal,
            unreachable=self._table.unreachable,
            parent=self._links.parent.daemon if self._links.parent else None,
            children=len(children),
        )

    def _counts(self, children: list[PeerLink]) -> dict[DataCentre, dict[Version, int]]:
        total: dict[DataCentre, dict[Version, int]] = {}

        def add(centre: DataCentre, version: Version, count: int) -> None:
            versions = total.setdefault(centre, {})
            versions[version] = versions.get(version, 0) + count

        add(self._table.own.data_centre, self._lists.version, 1)
        for link in children:
            if link.report is None and link.data_centre is not None:
                add(link.data_centre, link.confirmed, 1)
                continue
            for centre, versions in (
                link.report.counts_by_data_centre if link.report else {}
            ).items():
                for version, count in versions.items():
                    add(centre, version, count)
        return total

    def _stragglers(self, children: list[PeerLink]) -> tuple[LaggingDaemon, ...]:
        now = self._links.clock.now()
        found: list[LaggingDaemon] = []
        if self._lists.last_refusal is not None:
            reason = self._lists.last_refusal.reason.value
            found.append(LaggingDaemon(self._table.own.id, self._lists.version, reason))
        for link in children:
            if link.report is not None:
                found += link.report.lagging_daemons
            if link.confirmed >= self._lists.version or link.daemon is None:
                link.behind_since = None
                continue
            if link.behind_since is None:
                link.behind_since = now
            if link.refusal is not None:
                found.append(
                    LaggingDaemon(link.daemon, link.confirmed, link.refusal.reason)
                )
            elif now - link.behind_since >= _STRAGGLER_AFTER:
                found.append(
                    LaggingDaemon(link.daemon, link.confirmed, "no_confirmation")
                )
        unique = dict.fromkeys(found)
        return tuple(unique)[:MAX_STRAGGLERS]
