"""Forwards a call from the entry daemon to the host daemon of the chosen target."""

import asyncio

from ..ids import DaemonId
from ..protocol.frames import CallHead
from ..protocol.responses import Body
from ..state.refusals import Executed, Refusal, RefusalReason
from .hosted_calls import HostedCalls
from .peers import CallPool
from .streams import CallResult

# The host daemon enforces the deadline and has the outcome of the call. The entry
# daemon waits this much longer for its response.
HOST_GRACE_SECONDS = 0.25


class CallForwarder:
    """Forwards calls to host daemons; serves calls for this daemon directly."""

    def __init__(self, *, me: DaemonId, pool: CallPool, hosted: HostedCalls) -> None:
        self._me = me
        self._pool = pool
        self._hosted = hosted

    async def forward(self, host: DaemonId, head: CallHead, body: Body) -> CallResult:
        """Forward one attempt to ``host``; a daemon id is the daemon's peer address."""
        if host == self._me:
            result = await self._hosted.serve(head, body)
            return result, self._hosted.load_report_for(head)
        try:
            async with asyncio.timeout(head.remaining + HOST_GRACE_SECONDS):
                return await self._forward_to_peer(host, head, body)
        except TimeoutError:
            # The call may have been dispatched before the timeout.
            return Refusal(
                reason=RefusalReason.DEADLINE_EXCEEDED, executed=Executed.UNKNOWN
            ), None

    async def _forward_to_peer(
        self, host: DaemonId, head: CallHead, body: Body
    ) -> CallResult:
        connection = await self._pool.connection_to(host)
        if connection is None:
            return Refusal(
                reason=RefusalReason.CONNECT_FAILED,
                executed=Executed.NO,
                detail=f"the daemon {host} is unreachable",
            ), None
        return await connection.call(head, body)
