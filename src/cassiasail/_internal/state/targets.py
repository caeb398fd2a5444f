"""Targets as the entry daemon sees them."""

from dataclasses import dataclass
from enum import Enum

from ..ids import DaemonId, DataCentre, Region, TargetId
from .members import EndpointState


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetView:
    """One target of a service, from the membership of this daemon.

    ``ready_since`` is the time of this daemon's own clock at which it learned that
    the target is ready; clocks of VMs cannot be compared. ``slots`` counts the calls
    that the target runs at the same time.
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
        """Return whether new calls may be sent to the target."""
        return self.state is EndpointState.READY and self.reachable


@dataclass(frozen=True, slots=True, kw_only=True)
class LoadReport:
    """Load of a target, carried by the answers of its host daemon, in calls.

    A target that takes no calls reports 0 slots.
    """

    queued: int
    in_flight: int
    slots: int


class Outcome(Enum):
    """How a call to a target ended, as far as the choice of targets cares."""

    ANSWERED = "answered"
    # Not run: shed, queue full, draining and the like.
    REFUSED = "refused"
    # Connection lost, cut answer or time-out.
    FAILED = "failed"
    # Ended by the caller; says nothing about the target.
    CANCELLED = "cancelled"
