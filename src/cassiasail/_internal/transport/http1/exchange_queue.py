"""The requests of one connection that are not answered yet, in their order.

Safe requests run concurrently with earlier ones as long as there is room for them. Any
other request waits until it is the first, because an earlier response may close the
connection.
"""

import asyncio
import logging
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from ... import metrics
from ...protocol.http1 import HttpRequest, HttpResponse
from .partial_request import PartialRequest
from .service import HttpService

logger = logging.getLogger(__name__)

# Requests of one connection that may run at a time; reading pauses at this number.
MAX_PIPELINED = 16
SAFE_METHODS = frozenset((b"GET", b"HEAD", b"OPTIONS"))


@dataclass(slots=True, kw_only=True, eq=False)
class Exchange:
    """A complete request and, once it is done, its response."""

    request: HttpRequest
    keep_alive: bool
    # Holds the memory for the body; None for a request that was rejected.
    partial: PartialRequest | None = None
    task: "asyncio.Task[None] | None" = None
    response: HttpResponse | None = None
    done: bool = False
    # Size of the response as counted in the memory for responses not taken.
    unsent_size: int | None = None
    # Whether it runs behind another one and is counted as such.
    is_pipelined: bool = False

    def release_memory(self) -> None:
        """Release the memory for the body of the request."""
        if self.partial is not None:
            self.partial.release_memory()


@dataclass(frozen=True, slots=True, kw_only=True)
class UnansweredRequest:
    """A complete request whose response was not written yet.

    ``position`` is the number of requests before it on its connection that are not
    answered either. ``has_response`` is true if its response waits only for theirs.
    """

    request: HttpRequest
    position: int
    has_response: bool


class ExchangeQueue:
    """The exchanges of one connection; ``done`` is called with each that has ended."""

    def __init__(
        self, *, service: HttpService, done: Callable[[Exchange], None]
    ) -> None:
        self._service = service
        self._done = done
        self._loop = asyncio.get_running_loop()
        self._exchanges: deque[Exchange] = deque()
        self._has_started = False

    def __len__(self) -> int:
        return len(self._exchanges)

    @property
    def has_last(self) -> bool:
        """Whether no request is to follow the newest one on its connection."""
        return bool(self._exchanges) and not self._exchanges[-1].keep_alive

    @property
    def is_waiting(self) -> bool:
        """Whether the first response is not ready yet."""
        return bool(self._exchanges) and not self._exchanges[0].done

    def add(self, exchange: Exchange) -> None:
        """Add the newest exchange."""
        self._exchanges.append(exchange)

    def mark_last(self) -> None:
        """Let no request follow the newest one."""
        if self._exchanges:
            self._exchanges[-1].keep_alive = False

    def unanswered(self) -> Iterator[UnansweredRequest]:
        """Yield the requests, the first one first."""
        for position, exchange in enumerate(self._exchanges):
            yield UnansweredRequest(
                request=exchange.request,
                position=position,
                has_response=exchange.done,
            )

    def start_runnable(self) -> None:
        """Start the requests that may run now."""
        for position, exchange in enumerate(self._exchanges):
            if position >= MAX_PIPELINED:
                return
            if position and exchange.request.method not in SAFE_METHODS:
                return
            if exchange.task is not None or exchange.done:
                continue
            if position and not self._service.pipelined.try_start():
                return
            exchange.is_pipelined = position > 0
            exchange.task = self._loop.create_task(self._handle(exchange))

    def pop_first(self) -> Exchange:
        """Remove and return the first exchange, and release the memory it holds."""
        exchange = self._exchanges.popleft()
        exchange.release_memory()
        return exchange

    def answer_unfinished(self, respond: Callable[[HttpRequest], HttpResponse]) -> None:
        """Cancel the running handlers; ``respond`` returns the responses instead."""
        for exchange in self._exchanges:
            if exchange.task is not None and not exchange.done:
                exchange.task.cancel()
                self._end(exchange, respond(exchange.request))

    def shed_waiting(self) -> None:
        """Replace the responses that wait for the first one, to release their memory.

        Only safe requests run behind others, so their clients may send them again.
        """
        for exchange in self._exchanges:
            if exchange.unsent_size is not None:
                metrics.MESH_RESPONSES_SHED.inc()
                exchange.response = self._service.outcome_unknown(exchange.request)
                exchange.unsent_size = None

    def clear(self) -> None:
        """Cancel and remove all exchanges."""
        for exchange in self._exchanges:
            exchange.release_memory()
            if exchange.task is not None:
                exchange.task.cancel()
            self._stop_counting(exchange)
        self._exchanges.clear()

    async def _handle(self, exchange: Exchange) -> None:
        """Run the handler; a failure of it becomes a response with status 500."""
        if not self._has_started:
            self._has_started = True
            # A client may have left while its connection waited to be accepted. Its
            # close is seen in the next iteration of the loop and cancels this task.
            await asyncio.sleep(0)
        try:
            response = await self._service.handler(exchange.request)
        except Exception:
            logger.exception("request handler failed; responding with status 500")
            response = HttpResponse(status=500)
        self._end(exchange, response)
        self._done(exchange)

    def _end(self, exchange: Exchange, response: HttpResponse | None) -> None:
        exchange.response, exchange.done = response, True
        if response is not None:
            self._service.pipelined.record_size(len(response.body))
        self._stop_counting(exchange)

    def _stop_counting(self, exchange: Exchange) -> None:
        if exchange.is_pipelined:
            exchange.is_pipelined = False
            self._service.pipelined.end()
