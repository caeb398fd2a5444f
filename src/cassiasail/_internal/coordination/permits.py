"""What the entry side, the host side and the transport tell each other on one call."""

from dataclasses import dataclass
from enum import Enum
from types import TracebackType
from typing import Protocol, Self

from .. import invariants
from ..ids import ServiceName, TargetId
from ..state.fair_queue import QueuedCall
from ..state.fingerprints import Fingerprint
from ..state.refusals import Executed, Refusal, RefusalReason

# Used when a target that sheds does not say how long.
DEFAULT_RETRY_AFTER = 1.0  # seconds


@dataclass(frozen=True, slots=True, kw_only=True)
class HostedCall(QueuedCall):
    """A call that asks for a slot of a local target."""

    fingerprint: Fingerprint


class TargetState(Enum):
    """State of a target; the first three are announced, GONE is concluded."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


@dataclass(frozen=True, slots=True, kw_only=True)
class Announcement:
    """What a target says of itself every second.

    ``started`` identifies the process. ``free_slots`` is its own load report, None if
    it gives none; it may lag or mislead.
    """

    service: ServiceName
    state: TargetState
    slots: int
    connections: int
    started: float
    free_slots: int | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class EndpointChange:
    """A change of the endpoint to publish in the daemon's record.

    ``state`` is GONE when the endpoint is to be removed.
    """

    target: TargetId
    service: ServiceName
    state: TargetState
    slots: int
    started: float


class CallOutcome(Enum):
    """How a call that held a slot ended, as seen by the transport."""

    ANSWERED = "answered"
    # HTTP 503 with Retry-After: an answer, and a sign of overload.
    SHED = "shed"
    CONNECT_REFUSED = "connect_refused"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    # The target broke HTTP, or its answer was short.
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


def refusal_after(outcome: CallOutcome, *, dispatched: bool) -> Refusal | None:
    """Return the refusal for a call that ended with ``outcome``.

    None if the target's answer is passed on. Nobody knows what a target did with a
    call once its first byte was sent.
    """
    reason = REASON_BY_OUTCOME.get(outcome)
    if reason is None:
        return None
    executed = Executed.UNKNOWN if dispatched else Executed.NO
    return Refusal(reason=reason, executed=executed)


class PermitIssuer(Protocol):
    """The side of ``TargetHost`` that permits use."""

    def refusal_at_dispatch(self, permit: "SlotPermit") -> Refusal | None: ...

    def release(
        self, permit: "SlotPermit", outcome: CallOutcome, retry_after: float
    ) -> None: ...


class SlotPermit:
    """A slot of a target for one call. Leaving the context gives it back."""

    def __init__(
        self,
        *,
        issuer: PermitIssuer,
        ticket: int,
        call: HostedCall,
        started: float | None,
    ) -> None:
        self.call = call
        self.ticket = ticket
        # The process that the slot belongs to.
        self.started = started
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
            self.finished(CallOutcome.CANCELLED)

    def dispatched(self) -> Refusal | None:
        """Return None if the first byte may go out now, else why it must not.

        The state of the target may have changed since the slot was granted. After a
        refusal the slot is given back.
        """
        invariants.check("one_dispatch", not self.is_dispatched)
        refusal = self._issuer.refusal_at_dispatch(self)
        if refusal is not None:
            self.finished(CallOutcome.CANCELLED)
            return refusal
        self.is_dispatched = True
        return None

    def finished(
        self, outcome: CallOutcome, *, retry_after: float = DEFAULT_RETRY_AFTER
    ) -> Refusal | None:
        """Give the slot back; returns the refusal to send, None to pass the answer.

        ``retry_after`` is that of a target that shed the call, in seconds.
        """
        invariants.check("one_finish", not self.is_finished, outcome.value)
        if self.is_finished:
            return refusal_after(outcome, dispatched=self.is_dispatched)
        self.is_finished = True
        self._issuer.release(self, outcome, retry_after)
        return refusal_after(outcome, dispatched=self.is_dispatched)
