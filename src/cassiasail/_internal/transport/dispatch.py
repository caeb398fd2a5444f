"""Sends a call from the entry daemon to the host daemon of the chosen target."""

import asyncio

from ..ids import DaemonId
from ..protocol.frames import CallHead
from ..protocol.responses import Body
from ..state.refusals import Executed, Refusal, RefusalReason
from .hosted_calls import HostedCalls
from .peers import CallPool
from .streams import CallResult

# The host daemon enforces the deadline and knows what became of the call; the entry
# daemon waits this much longer for its word, in seconds.
HOST_GRACE = 0.25


class Dispatcher:
    """Runs local calls directly and sends others over the call connections."""

    def __init__(self, *, me: DaemonId, pool: CallPool, hosted: HostedCalls) -> None:
        self._me = me
        self._pool = pool
        self._hosted = hosted

    async def send(self, host: DaemonId, head: CallHead, body: Body) -> CallResult:
        """Send one attempt to ``host``; its id is its peer address."""
        if host == self._me:
            answer = await self._hosted.serve(head, body)
            return answer, self._hosted.report_for(head)
        try:
            async with asyncio.timeout(head.remaining + HOST_GRACE):
                return await self._send(host, head, body)
        except TimeoutError:
            # The call may have been dispatched before the time was up.
            return Refusal(
                reason=RefusalReason.DEADLINE_EXCEEDED, executed=Executed.UNKNOWN
            ), None

    async def _send(self, host: DaemonId, head: CallHead, body: Body) -> CallResult:
        connection = await self._pool.connection_to(host)
        if connection is None:
            return Refusal(
                reason=RefusalReason.CONNECT_FAILED,
                executed=Executed.NO,
                detail=f"the daemon {host} can't be reached",
            ), None
        return await connection.call(head, body)
