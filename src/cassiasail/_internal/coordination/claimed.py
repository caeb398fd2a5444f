"""The right to dispatch one keyed call."""

from enum import Enum

from .. import invariants
from ..clock import Clock
from .claimrows import ClaimRow
from .store import ABSENT


class ClaimStatus(Enum):
    """What a daemon knows about a token of its own."""

    RUNNING = "running"
    # Not dispatched, and never will be.
    NEVER_RUN = "never_run"
    UNKNOWN = "unknown"


class Claimed:
    """The right to dispatch one keyed call, until its deadline.

    ``may_dispatch`` is asked immediately before each dispatch; ``dispatched`` and
    ``not_executed`` tell what became of it.
    """

    def __init__(
        self, *, row_key: str, row: ClaimRow, deadline: float, clock: Clock
    ) -> None:
        self.row_key = row_key
        self.row = row
        self.deadline = deadline
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
        """Return whether a dispatch may have been executed."""
        return self._outstanding

    def may_dispatch(self) -> bool:
        """Return whether the call may go to a target now.

        False after the deadline by this VM's clock, so a daemon that was paused does
        not dispatch on an old claim; false after the claim was closed, and while an
        earlier dispatch may still be executed.
        """
        expired = self._clock.now() >= self.deadline
        return self._open and not self._outstanding and not expired

    def dispatched(self) -> None:
        """Note that the call goes to a target; raises no error, checks the right."""
        invariants.check("dispatch_under_claim", self.may_dispatch(), self.row_key)
        self._outstanding = True

    def not_executed(self) -> None:
        """Note that the last dispatch was certainly not executed."""
        self._outstanding = False

    def close(self) -> None:
        """End the right to dispatch for good."""
        self._open = False
