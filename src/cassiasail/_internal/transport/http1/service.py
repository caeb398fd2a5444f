"""What all connections of one HTTP/1.1 server share."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from ...protocol.http1 import HttpRequest, HttpResponse
from ...state.mesh_config import ClientLimits
from ...state.return_schedule import ReturnSchedule
from .hangup_watch import HangupWatch
from .link_pacer import LinkPacer
from .memory import MAX_UNSENT_BYTES, BodyMemory, UnsentResponses
from .pipelining import PipelinedRequests

# Requests behind others that run at a time, for servers that set no limit.
MAX_PIPELINED_TOGETHER = 256

Handler = Callable[[HttpRequest], Awaitable[HttpResponse | None]]
# Receives a request without its body; returns the seconds from its arrival to its
# deadline, None if it has none.
TimeLimit = Callable[[HttpRequest], float | None]
# Returns the response to a request that may have run; it promises nothing.
OutcomeUnknown = Callable[[HttpRequest], HttpResponse]


def bad_gateway(request: HttpRequest) -> HttpResponse:
    """Return the plain response to a request that may have run."""
    return HttpResponse(status=502)


@dataclass(slots=True, kw_only=True)
class HttpService:
    """How the connections of a server serve requests; see ``HttpServer``.

    While it is ``draining``, responses close their connections. ``hangups`` watches the
    connections that are not read for a while. ``unsent`` counts responses that clients
    have not taken, ``pipelined`` the requests that run behind others, and ``pacer``
    paces large responses if they leave over a link. A connection with more than
    ``max_unanswered`` requests without a response is dropped, None for any number.
    ``returns`` tells refused clients when to return.
    """

    handler: Handler
    limits: Callable[[], ClientLimits]
    time_limit: TimeLimit
    memory: BodyMemory
    unsent: UnsentResponses = field(
        default_factory=lambda: UnsentResponses(limit=MAX_UNSENT_BYTES)
    )
    pacer: LinkPacer | None = None
    max_pipelined: int = MAX_PIPELINED_TOGETHER
    max_unanswered: int | None = None
    outcome_unknown: OutcomeUnknown = bad_gateway
    returns: ReturnSchedule = field(default_factory=ReturnSchedule)
    draining: bool = False
    hangups: HangupWatch = field(default_factory=HangupWatch)
    pipelined: PipelinedRequests = field(init=False)

    def __post_init__(self) -> None:
        self.pipelined = PipelinedRequests(limit=self.max_pipelined, unsent=self.unsent)
