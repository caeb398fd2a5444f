"""Types shared by ``TargetHost`` and the transport that dispatches calls to a target.

Heartbeats and states of a target, endpoint changes, outcomes of calls, slot permits.
"""

from dataclasses import dataclass
from enum import Enum
from types import TracebackType
from typing import Protocol, Self

from .. import invariants
from ..ids import ServiceName, TargetId
from ..state.fair_queue import QueuedCall
from ..state.fingerprints import Fingerprint
from ..state.refusals import Executed, Refusal, RefusalReason

# Used when a target that sheds a call sends no Retry-After.
DEFAULT_RETRY_AFTER_SECONDS = 1.0


@dataclass(frozen=True, slots=True, kw_only=True)
class HostedCall(QueuedCall):
    """A call that requests a slot of a local target."""

    fingerprint: Fingerprint


class TargetState(Enum):
    """State of a target.

    Heartbeats carry the first three; the host daemon itself sets REMOVED, which is also
    the state before the first heartbeat.
    """

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"
    REMOVED = "gone"


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetHeartbeat:
    """Message that a target sends to its host daemon every second.

    ``start_time`` in Unix seconds identifies the process. ``free_slots`` comes from
    the target's load report, None if it sends none; it may be outdated or wrong.
    """

    service: ServiceName
    state: TargetState
    slots: int
    connections: int
    start_time: float
    free_slots: int | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class EndpointChange:
    """A change of the endpoint to publish in the daemon's record.

    ``state`` is REMOVED when the endpoint is to be removed.
    """

    target: TargetId
    service: ServiceName
    state: TargetState
    slots: int
    start_time: float


class CallOutcome(Enum):
    """How a call that held a slot ended, as seen by the transport."""

    ANSWERED = "answered"
    # HTTP 503 with Retry-After: a response that also shows overload.
    SHED = "shed"
    CONNECT_REFUSED = "connect_refused"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    # The target violated HTTP, or its response was truncated.
    MALFORMED = "malformed"
    TIMED_OUT = "timed_out"
    CANCELLED = "cancelled"


REASON_BY_OUTCOME = {
    CallOutcome.CONNECT_REFUSED: RefusalReason.CONNECT_FAILED,
    CallOutcome.CONNECT_FAILED: RefusalReason.CONNECT_FAILED,
    CallOutcome.RESET: RefusalReason.TARGET_FAILED,
    CallOutcome.MALFORMED: RefusalReason.TARGET_FAILED,
    CallOutcome.TIMED_OUT: RefusalReason.DEADLINE_EXCEEDED,
    CallOutcome.CANCELLED: RefusalReason.CANCELLED,
}


def refusal_for_outcome(outcome: CallOutcome, *, is_dispatched: bool) -> Refusal | None:
    """Return the refusal for a call that ended with ``outcome``.

    None if the target's response is returned to the caller. Once the first byte of a
    call was sent, it is unknown whether the target executed it.
    """
    reason = REASON_BY_OUTCOME.get(outcome)
    if reason is None:
        return None
    executed = Executed.UNKNOWN if is_dispatched else Executed.NO
    return Refusal(reason=reason, executed=executed)


class PermitIssuer(Protocol):
    """The methods of ``TargetHost`` that a permit calls."""

    def refusal_at_dispatch(self, permit: "SlotPermit") -> Refusal | None: ...

    def release(
        self, permit: "SlotPermit", outcome: CallOutcome, retry_after: float
    ) -> None: ...


class SlotPermit:
    """A slot of a target for one call. Leaving the context releases it."""

    def __init__(
        self,
        *,
        issuer: PermitIssuer,
        ticket: int,
        call: HostedCall,
        start_time: float | None,
    ) -> None:
        self.call = call
        self.ticket = ticket
        # Identifies the target process that the slot belongs to.
        self.start_time = start_time
        self.is_dispatched = False
        self.is_finished = False
        self._issuer = issuer

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        if not self.is_finished:
            self.finish(CallOutcome.CANCELLED)

    def begin_dispatch(self) -> Refusal | None:
        """Return None if the first byte may be sent now, else why it must not.

        The state of the target may have changed since the slot was granted. A refusal
        releases the slot.
        """
        invariants.check("one_dispatch", not self.is_dispatched)
        refusal = self._issuer.refusal_at_dispatch(self)
        if refusal is not None:
            self.finish(CallOutcome.CANCELLED)
            return refusal
        self.is_dispatched = True
        return None

    def finish(
        self, outcome: CallOutcome, *, retry_after: float = DEFAULT_RETRY_AFTER_SECONDS
    ) -> Refusal | None:
        """Release the slot; returns the refusal to send, None for the response.

        ``retry_after`` in seconds is that of a target that shed the call.
        """
        invariants.check("one_finish", not self.is_finished, outcome.value)
        if self.is_finished:
            return refusal_for_outcome(outcome, is_dispatched=self.is_dispatched)
        self.is_finished = True
        self._issuer.release(self, outcome, retry_after)
        return refusal_for_outcome(outcome, is_dispatched=self.is_dispatched)
