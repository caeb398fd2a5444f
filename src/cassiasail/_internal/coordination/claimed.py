"""A claim that this daemon holds: the permission to dispatch one keyed call."""

from enum import Enum

from .. import invariants
from ..clock import Clock
from .claimrows import ClaimRow
from .store import ABSENT


class ClaimStatus(Enum):
    """Status of a claim token, as reported by the daemon that generated it."""

    RUNNING = "running"
    # Not dispatched, and never will be.
    NEVER_RUN = "never_run"
    UNKNOWN = "unknown"


class HeldClaim:
    """Permission to dispatch one keyed call, valid until its deadline.

    The daemon checks ``may_dispatch`` immediately before each dispatch, then calls
    ``mark_dispatched``, and ``mark_not_executed`` once it is certain that the
    dispatched call was not executed.
    """

    def __init__(
        self, *, row_key: str, row: ClaimRow, deadline: float, clock: Clock
    ) -> None:
        self.row_key = row_key
        self.row = row
        self.deadline = deadline
        # Revision of the claim row; ABSENT until the claim is written.
        self.revision = ABSENT
        self._clock = clock
        self._open = True
        self._outstanding = False

    @property
    def token(self) -> str:
        """Return the unique token of this claim."""
        return self.row.token

    @property
    def is_outstanding(self) -> bool:
        """Return whether a dispatched call may have been executed."""
        return self._outstanding

    def may_dispatch(self) -> bool:
        """Return whether the call may be dispatched to a target now.

        False after the deadline by the clock of this VM, so that a daemon that was
        paused does not dispatch on an old claim. False also after the claim was closed
        and while an earlier dispatch may still be executed.
        """
        expired = self._clock.now() >= self.deadline
        return self._open and not self._outstanding and not expired

    def mark_dispatched(self) -> None:
        """Mark the call as dispatched.

        If dispatching was not allowed, reports a failed invariant and raises no error.
        """
        invariants.check("dispatch_under_claim", self.may_dispatch(), self.row_key)
        self._outstanding = True

    def mark_not_executed(self) -> None:
        """Mark the last dispatch as certainly not executed."""
        self._outstanding = False

    def close(self) -> None:
        """Revoke the permission to dispatch, permanently."""
        self._open = False
