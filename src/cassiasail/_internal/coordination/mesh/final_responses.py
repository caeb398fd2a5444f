"""What an entry daemon responds to a client."""

from dataclasses import dataclass

from ...state.calls import HostReason, TargetResponse


@dataclass(frozen=True, slots=True, kw_only=True)
class NoRoute:
    """The configuration has no route for the request; it was not executed."""


@dataclass(frozen=True, slots=True, kw_only=True)
class KeyRefused:
    """The request has no key of a client account that may use the route."""


@dataclass(frozen=True, slots=True, kw_only=True)
class OverQuota:
    """The account has used its quota; the request was not executed.

    ``retry_after`` is the time in seconds after which the client should retry.
    """

    retry_after: float


@dataclass(frozen=True, slots=True, kw_only=True)
class NotRun:
    """No target executed the request and none will.

    ``retry_after`` is the time in seconds after which the client should retry.
    """

    reason: HostReason
    retry_after: float


@dataclass(frozen=True, slots=True, kw_only=True)
class OutcomeUnknown:
    """A target may have executed the request, but there is no response."""

    reason: HostReason

    @property
    def timed_out(self) -> bool:
        return self.reason is HostReason.TIMED_OUT


FinalResponse = (
    TargetResponse | NoRoute | KeyRefused | OverQuota | NotRun | OutcomeUnknown
)


def kept_bytes(response: FinalResponse) -> int | None:
    """Return the size of the body to keep, None for a request not executed."""
    if isinstance(response, NoRoute | KeyRefused | OverQuota | NotRun):
        return None
    return len(response.body) if isinstance(response, TargetResponse) else 0
