"""The current target of this daemon, derived from the heartbeats of the target.

Heartbeats may arrive late, also those of an earlier incarnation of the target. A
heartbeat is applied only if it is newer than every earlier one, by the start time of
the target and then by its sequence number. A target that is leaving or was removed is
not used again in the same incarnation.

A daemon may acknowledge that the target is leaving and then restart before this is in
the store. A late heartbeat could then put the leaving target back into service. While
late heartbeats may still arrive after a start, the first heartbeat of a target is
therefore applied only once a health check confirms it. A newer heartbeat does not: both
may be late.
"""

from collections.abc import Callable
from dataclasses import dataclass, replace
from enum import Enum

from ...ids import ServiceName, TargetId
from ...state.addresses import Address
from ...state.hosts import HostRecord, Incarnation, TargetState

# Sequence number of a heartbeat derived from the stored record; lower than every
# number that a target sends.
RESTORED_SEQUENCE = -1
# Number of ended incarnations that are kept in order to reject their late heartbeats.
MAX_ENDED_INCARNATIONS = 64


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetHeartbeat:
    """A heartbeat of a target, with the target's properties and state.

    ``start_time_ms`` is the Unix time in milliseconds at which the target started, 0 if
    the heartbeat lacks it. ``leaving`` is true if the target accepts no new requests.
    ``cold_seconds`` is how much longer the target will be slow after its start.
    """

    target: TargetId
    start_time_ms: int
    sequence: int
    service: ServiceName
    address: Address
    slots: int
    leaving: bool
    cold_seconds: float

    @property
    def incarnation(self) -> Incarnation:
        """The incarnation of the target that sent the heartbeat."""
        return self.target, self.start_time_ms


class HeartbeatVerdict(Enum):
    """Whether a heartbeat or removal was applied; the value is written to logs."""

    APPLIED = "taken"
    STALE = "stale"
    OTHER_ADDRESS = "other_address"
    UNCONFIRMED = "unconfirmed"


class TargetRegistration:
    """The current target of one VM.

    ``changed`` is called with the latest heartbeat after each change, or with None if
    there is no target. ``may_get_old_heartbeats`` returns whether heartbeats that were
    sent before this daemon started may still arrive.
    """

    def __init__(
        self,
        *,
        address: Address,
        changed: Callable[[TargetHeartbeat | None], None],
        may_get_old_heartbeats: Callable[[], bool],
    ) -> None:
        self._address = address
        self._may_get_old_heartbeats = may_get_old_heartbeats
        self._unconfirmed: TargetHeartbeat | None = None
        self._changed = changed
        self._ended_incarnations: dict[Incarnation, None] = {}
        self._latest_start_time_ms = 0
        # Latest heartbeat of a target that is out of service until its next one.
        self._suspended: TargetHeartbeat | None = None
        self.current: TargetHeartbeat | None = None

    @property
    def state(self) -> TargetState:
        """The state to publish for the target."""
        if self.current is None:
            return TargetState.SUSPENDED if self._suspended else TargetState.ABSENT
        return TargetState.LEAVING if self.current.leaving else TargetState.READY

    def receive(self, heartbeat: TargetHeartbeat) -> HeartbeatVerdict:
        """Apply ``heartbeat`` unless it is stale, of another VM or unconfirmed."""
        if heartbeat.address != self._address:
            return HeartbeatVerdict.OTHER_ADDRESS
        incarnation = heartbeat.incarnation
        if heartbeat.start_time_ms < self._latest_start_time_ms:
            return HeartbeatVerdict.STALE
        if incarnation in self._ended_incarnations and not heartbeat.leaving:
            return HeartbeatVerdict.STALE
        current, unconfirmed = self.current, self._unconfirmed
        if (
            current is not None
            and current.incarnation == incarnation
            and heartbeat.sequence <= current.sequence
        ):
            return HeartbeatVerdict.STALE
        if (
            unconfirmed is not None
            and heartbeat.start_time_ms < unconfirmed.start_time_ms
            and self._may_get_old_heartbeats()
        ):
            return HeartbeatVerdict.STALE
        if self._needs_confirmation(heartbeat):
            self._unconfirmed = heartbeat
            return HeartbeatVerdict.UNCONFIRMED
        self._apply(heartbeat)
        return HeartbeatVerdict.APPLIED

    def confirm(self, heartbeat: TargetHeartbeat) -> None:
        """Apply a heartbeat after a health check showed that its target is ready.

        ``heartbeat`` started the check; a newer one of the same incarnation that came
        meanwhile is applied in its place. Does nothing if the target was removed or
        another incarnation was heard of.
        """
        unconfirmed = self._unconfirmed
        if unconfirmed and unconfirmed.incarnation == heartbeat.incarnation:
            self._apply(unconfirmed)

    def _needs_confirmation(self, heartbeat: TargetHeartbeat) -> bool:
        return (
            not heartbeat.leaving
            and self.current is None
            and self._may_get_old_heartbeats()
        )

    def _apply(self, heartbeat: TargetHeartbeat) -> None:
        self._latest_start_time_ms = heartbeat.start_time_ms
        self._unconfirmed = None
        if heartbeat.leaving:
            self._mark_ended(heartbeat.incarnation)
        self.current, self._suspended = heartbeat, None
        self._changed(heartbeat)

    def leave(self, incarnation: Incarnation) -> None:
        """Apply a response in which the target states that it is leaving.

        Its heartbeats may still say otherwise, or arrive late.
        """
        self._mark_ended(incarnation)
        current, unconfirmed = self.current, self._unconfirmed
        if unconfirmed is not None and unconfirmed.incarnation == incarnation:
            self._unconfirmed = None
        if current is not None and current.incarnation == incarnation:
            self._apply(replace(current, leaving=True))

    def remove(self, target: TargetId, start_time_ms: int | None) -> HeartbeatVerdict:
        """Apply the notice that ``target`` is ending and accepts no new requests.

        ``start_time_ms`` is None if the notice names no incarnation.
        """
        if start_time_ms is not None:
            # Also if it isn't known yet: late heartbeats and the record that an earlier
            # incarnation of this daemon stored may follow.
            self._mark_ended((target, start_time_ms))
        current = self.current or self._unconfirmed or self._suspended
        if current is None or current.target != target:
            return HeartbeatVerdict.STALE
        if start_time_ms is not None and start_time_ms != current.start_time_ms:
            return HeartbeatVerdict.STALE
        self._mark_ended(current.incarnation)
        self.current = self._unconfirmed = self._suspended = None
        self._changed(None)
        return HeartbeatVerdict.APPLIED

    def suspend(self) -> None:
        """Take the target out of service until its next heartbeat.

        Used for a target whose heartbeats expired or that crashed.
        """
        self._suspended, self.current = self.current, None
        self._changed(None)

    def restore(self, record: HostRecord) -> TargetHeartbeat | None:
        """Apply the record that this daemon stored before its restart.

        If the target was leaving or absent, late heartbeats of that incarnation are
        rejected. Otherwise the target may be used again without waiting for its next
        heartbeat: the returned heartbeat is to be confirmed by a health check. Returns
        None if there is nothing to confirm.
        """
        incarnation = record.incarnation
        current = self.current
        if record.state in (TargetState.LEAVING, TargetState.ABSENT):
            self._mark_ended(incarnation)
            self._unconfirmed = None
            if current is not None and current.incarnation == incarnation:
                self.current = None
                self._changed(None)
            return None
        unconfirmed = self._unconfirmed
        if current is not None or (
            unconfirmed is not None
            and unconfirmed.start_time_ms >= record.start_time_ms
        ):
            return None
        if incarnation in self._ended_incarnations:
            return None
        self._unconfirmed = TargetHeartbeat(
            target=record.target,
            start_time_ms=record.start_time_ms,
            sequence=RESTORED_SEQUENCE,
            service=record.service,
            address=self._address,
            slots=record.slots,
            leaving=False,
            cold_seconds=0.0,
        )
        return self._unconfirmed

    def _mark_ended(self, incarnation: Incarnation) -> None:
        self._ended_incarnations[incarnation] = None
        while len(self._ended_incarnations) > MAX_ENDED_INCARNATIONS:
            del self._ended_incarnations[next(iter(self._ended_incarnations))]
