"""Suspected members: probed on a new connection, dead after three seconds.

A member is suspected when its link in the tree is lost, when a parent of the own
data centre cannot be dialed, or when the head of a data centre finds a member that
is attached nowhere. Contact clears the suspicion. While a suspect does not answer,
the daemon leaves it out of its own tree, so its children move to the next rank
before the death is certain.
"""

from collections.abc import Callable
from dataclasses import dataclass

from ..ids import DaemonId
from .dialing import Dialer
from .links import LinkRole, Links
from .membership import Membership

_PROBE_EVERY = 1.0  # seconds
_NEVER = 1e9  # seconds


@dataclass(slots=True)
class _Suspect:
    since: float
    next_probe_at: float
    probe_every: float
    failed_probes: int = 0


class Suspicion:
    """Suspects by id. ``on_change`` is called when the own tree may change."""

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
        self._missing_since: dict[DaemonId, float] = {}

    def suspect(
        self, daemon: DaemonId, *, first_probe_after: float = 0.0, once: bool = False
    ) -> None:
        """Start to probe ``daemon`` unless it is dead or already suspected.

        With ``once`` there is a single probe: another daemon probes as well and its
        verdict arrives over the links that exist.
        """
        table = self._membership.table
        if daemon in self._suspect_by_id or daemon == table.own_record.id:
            return
        if not table.is_living(daemon):
            return
        now = self._links.clock.now()
        # Many daemons notice a loss in the same moment; their probes spread.
        jitter = self._links.rng.uniform(0.0, 0.1)
        self._suspect_by_id[daemon] = _Suspect(
            since=now,
            next_probe_at=now + first_probe_after + jitter,
            probe_every=_NEVER if once else _PROBE_EVERY,
        )

    def contact(self, daemon: DaemonId) -> None:
        """Clear the suspicion of a daemon that was heard."""
        self._missing_since.pop(daemon, None)
        if self._suspect_by_id.pop(daemon, None) is not None:
            self._on_change()

    def dial_failed(self, address: str) -> None:
        """Count a failed probe."""
        for daemon, suspect in self._suspect_by_id.items():
            record = self._membership.table.get(daemon)
            if record is not None and record.peer_addr == address:
                suspect.failed_probes += 1
                self._on_change()

    def silent(self) -> set[DaemonId]:
        """Return the suspects that failed a probe."""
        return {
            daemon
            for daemon, suspect in self._suspect_by_id.items()
            if suspect.failed_probes
        }

    def skip_pause(self, gap: float) -> None:
        """Give suspects the time that this process stood still."""
        now = self._links.clock.now()
        for suspect in self._suspect_by_id.values():
            suspect.since = min(now, suspect.since + gap)

    def tick(self) -> None:
        """Probe suspects and declare those dead that stayed silent."""
        now = self._links.clock.now()
        for daemon, suspect in list(self._suspect_by_id.items()):
            record = self._membership.table.get(daemon)
            if record is None or not self._membership.table.is_living(daemon):
                del self._suspect_by_id[daemon]
                self._on_change()
            elif now - suspect.since >= self._links.options.dead_after:
                del self._suspect_by_id[daemon]
                self._membership.declare_dead(daemon, "it does not answer")
                self._on_change()
            elif now >= suspect.next_probe_at:
                suspect.next_probe_at = now + suspect.probe_every
                self._dialer.dial(record.peer_addr)

    def audit(self) -> None:
        """As head, suspect members of the data centre that are attached nowhere.

        A leaf that dies together with its relay is observed by nobody else.
        """
        table = self._membership.table
        attached = {table.own_record.id}
        for link in self._links.identified():
            if link.daemon is not None:
                attached.add(link.daemon)
            if link.role is LinkRole.CHILD:
                attached |= link.attached_children
        now = self._links.clock.now()
        missing = [
            record.id
            for record in table.living(table.own_record.data_centre)
            if record.id not in attached
        ]
        self._missing_since = {
            daemon: self._missing_since.get(daemon, now) for daemon in missing
        }
        # Reparenting and the report about it take less; a false alarm costs one
        # probe.
        grace = 2 * self._links.options.status_interval
        for daemon, since in list(self._missing_since.items()):
            if now - since >= grace:
                self._missing_since[daemon] = now
                self.suspect(daemon)

    def stop_audit(self) -> None:
        """Forget what was missing once another daemon is head."""
        self._missing_since.clear()
