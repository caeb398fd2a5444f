"""Targets as seen by an entry daemon: their state, load, and outcomes of attempts."""

from dataclasses import dataclass
from enum import Enum

from ..ids import DaemonId, DataCentre, Region, TargetId
from .members import EndpointState


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetView:
    """One target of a service, from this daemon's copy of the membership.

    ``slots`` is the number of calls that the target runs at the same time.
    ``ready_since`` is when this daemon first saw the target as ready, by its local
    clock, because the clocks of different VMs cannot be compared. ``reachable`` is
    whether the host daemon is alive in the membership.
    """

    target_id: TargetId
    daemon_id: DaemonId
    region: Region
    data_centre: DataCentre
    state: EndpointState
    slots: int
    ready_since: float
    reachable: bool

    @property
    def is_usable(self) -> bool:
        """Return whether new calls may be forwarded to the target."""
        return self.state is EndpointState.READY and self.reachable


@dataclass(frozen=True, slots=True, kw_only=True)
class LoadReport:
    """Load of a target in calls, which its host daemon sends with responses.

    A target that accepts no calls is reported with 0 slots.
    """

    queued: int
    in_flight: int
    slots: int


class AttemptOutcome(Enum):
    """How an attempt ended, as far as it matters for the choice of targets."""

    ANSWERED = "answered"
    # Refused without being executed, for example because of shedding, a full queue or
    # draining.
    REFUSED = "refused"
    # The connection was lost, the response was truncated, or the attempt timed out.
    FAILED = "failed"
    # Ended by the caller, which is no measurement of the target.
    CANCELLED = "cancelled"
