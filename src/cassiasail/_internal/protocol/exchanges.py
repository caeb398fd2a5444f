"""Interface for HTTP requests: failure reasons and the client protocol."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from ..state.addresses import Address as Address
from .http1 import HttpRequest, HttpResponse


class FailureReason(Enum):
    """Why an exchange has no response; the value is used in logs and metric labels."""

    CONNECT_FAILED = "connect_failed"
    # This process may open no further connection.
    NO_DESCRIPTOR = "no_descriptor"
    RESET = "reset"
    CUT_SHORT = "cut_short"
    MALFORMED = "malformed"
    TOO_LARGE = "too_large"
    TIMED_OUT = "timed_out"


@dataclass(frozen=True, slots=True, kw_only=True)
class ExchangeFailed:
    """No complete response arrived.

    ``sent`` is false only if not a single byte of the request was sent.
    """

    reason: FailureReason
    sent: bool


class ResponseMatch(Enum):
    """Whether a response belongs to the request that was sent last on its connection.

    A server may send a second copy of a response when its connection is in use again.
    """

    OWN = "own"
    # The response names the request, and so would its second copy the next attempt of
    # this request. It is delivered, but its connection is not used again.
    OWN_LAST = "own_last"
    # The response names no request. It is delivered only as the first response of its
    # connection, before which there is no other that it could be a part or a copy of.
    # The connection is not used again: a second copy could not be told from the
    # response to a later request.
    UNKNOWN = "unknown"
    # The response names another request and is dropped.
    OTHER = "other"


def match_attempt(echoed: str | None, attempt_id: str) -> ResponseMatch:
    """Return the match of a response that echoes ``echoed``, None if it echoes none.

    ``attempt_id`` is that of the request, empty if it has none.
    """
    if not echoed:
        return ResponseMatch.UNKNOWN
    return ResponseMatch.OWN if echoed == attempt_id else ResponseMatch.OTHER


# No idle connection is used with this limit of the idle time. A response that can't
# name its request is only believed on a new connection.
NEW_CONNECTION = -1.0


class Exchanger(Protocol):
    """Sends requests and returns complete responses; never raises for a failure."""

    async def exchange(
        self,
        address: Address,
        request: HttpRequest,
        *,
        timeout: float,
        match: Callable[[HttpResponse], ResponseMatch] | None = None,
        max_idle: float | None = None,
        grace: float = 0.0,
    ) -> HttpResponse | ExchangeFailed:
        """Send ``request`` to ``address`` and return the response.

        The response has to arrive within ``timeout`` seconds; one that is arriving by
        then may take up to ``grace`` seconds longer. ``match`` returns to which request
        a response belongs; without it each response is taken as that of the request. A
        connection that was idle for more than ``max_idle`` seconds is not used.
        """
        ...

    def close_idle(self, address: Address) -> None:
        """Close the idle connections to ``address``."""
        ...
