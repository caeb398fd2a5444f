"""Suspects members that may be dead: probes them and declares them dead after 3 s.

A member is suspected when its link in the relay tree is lost, when a parent in the
local data centre cannot be dialed, or when the head of a data centre finds a member
that is attached to no daemon. Contact clears the suspicion. A suspect that failed a
probe is left out of this daemon's relay tree, so its children move to the next rank
before it is declared dead.
"""

from collections.abc import Callable
from dataclasses import dataclass

from ..ids import DaemonId
from .dialing import Dialer
from .links import LinkRole, Links
from .membership import Membership

_PROBE_INTERVAL_SECONDS = 1.0
# Interval of a suspect that is probed only once.
_NO_MORE_PROBES_SECONDS = 1e9


@dataclass(slots=True)
class _Suspect:
    suspected_at: float
    next_probe_at: float
    probe_interval: float
    failed_probes: int = 0


class Suspicion:
    """The suspected members by id.

    ``on_change`` is called when the relay tree of this daemon may change.
    """

    def __init__(
        self,
        *,
        membership: Membership,
        links: Links,
        dialer: Dialer,
        on_change: Callable[[], None],
    ) -> None:
        self._membership = membership
        self._links = links
        self._dialer = dialer
        self._on_change = on_change
        self._suspect_by_id: dict[DaemonId, _Suspect] = {}
        self._unattached_since: dict[DaemonId, float] = {}

    def suspect(
        self, daemon: DaemonId, *, first_probe_after: float = 0.0, once: bool = False
    ) -> None:
        """Start to probe ``daemon`` unless it is dead or already suspected.

        With ``once`` there is a single probe: another daemon probes as well and its
        result arrives over the existing links.
        """
        table = self._membership.table
        if daemon in self._suspect_by_id or daemon == table.own_record.id:
            return
        if not table.is_living(daemon):
            return
        now = self._links.clock.now()
        # Many daemons suspect a dead daemon at the same time; jitter spreads their
        # probes.
        jitter = self._links.rng.uniform(0.0, 0.1)
        self._suspect_by_id[daemon] = _Suspect(
            suspected_at=now,
            next_probe_at=now + first_probe_after + jitter,
            probe_interval=_NO_MORE_PROBES_SECONDS if once else _PROBE_INTERVAL_SECONDS,
        )

    def clear(self, daemon: DaemonId) -> None:
        """Clear the suspicion of a daemon from which a message arrived."""
        self._unattached_since.pop(daemon, None)
        if self._suspect_by_id.pop(daemon, None) is not None:
            self._on_change()

    def dial_failed(self, address: str) -> None:
        """Count a failed probe."""
        for daemon, suspect in self._suspect_by_id.items():
            record = self._membership.table.get(daemon)
            if record is not None and record.peer_addr == address:
                suspect.failed_probes += 1
                self._on_change()

    def unresponsive(self) -> set[DaemonId]:
        """Return the suspects that failed a probe."""
        return {
            daemon
            for daemon, suspect in self._suspect_by_id.items()
            if suspect.failed_probes
        }

    def skip_pause(self, gap: float) -> None:
        """Extend the time of suspects by ``gap`` seconds of a pause of this process."""
        now = self._links.clock.now()
        for suspect in self._suspect_by_id.values():
            suspect.suspected_at = min(now, suspect.suspected_at + gap)

    def tick(self) -> None:
        """Probe suspects and declare those dead whose time has run out."""
        now = self._links.clock.now()
        for daemon, suspect in list(self._suspect_by_id.items()):
            record = self._membership.table.get(daemon)
            if record is None or not self._membership.table.is_living(daemon):
                del self._suspect_by_id[daemon]
                self._on_change()
            elif now - suspect.suspected_at >= self._links.options.dead_after:
                del self._suspect_by_id[daemon]
                self._membership.declare_dead(daemon, "it did not respond to probes")
                self._on_change()
            elif now >= suspect.next_probe_at:
                suspect.next_probe_at = now + suspect.probe_interval
                self._dialer.dial(record.peer_addr)

    def suspect_unattached(self) -> None:
        """As head, suspect members of the data centre that are attached to no daemon.

        If a leaf dies together with its relay, no other daemon detects it.
        """
        table = self._membership.table
        attached = {table.own_record.id}
        for link in self._links.identified():
            if link.daemon is not None:
                attached.add(link.daemon)
            if link.role is LinkRole.CHILD:
                attached |= link.attached_children
        now = self._links.clock.now()
        unattached = [
            record.id
            for record in table.living(table.own_record.data_centre)
            if record.id not in attached
        ]
        self._unattached_since = {
            daemon: self._unattached_since.get(daemon, now) for daemon in unattached
        }
        # Attaching to a new parent and the status report about it take less time; a
        # wrong suspicion costs one probe.
        grace = 2 * self._links.options.status_interval
        for daemon, since in list(self._unattached_since.items()):
            if now - since >= grace:
                self._unattached_since[daemon] = now
                self.suspect(daemon)

    def clear_unattached(self) -> None:
        """Drop the times of unattached members once another daemon is head."""
        self._unattached_since.clear()
