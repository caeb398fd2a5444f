"""Requests between daemons that expect one reply: allowance tokens and claims.

They travel on the call connections, because the daemons that ask each other are those
that also exchange calls.
"""

from collections.abc import Awaitable, Callable
from typing import Any

from ...exceptions import ProtocolError
from .. import metrics
from ..coordination.claimed import ClaimStatus
from ..ids import DaemonId
from ..protocol.quotas import (
    QuotaMessage,
    QuotaResponse,
    TokenRequest,
    UsageReportBatch,
    quota_message_from_wire,
)
from .peers import CallPool

CLAIM_STATUS = "claim-status"
# A call waits no longer for its tokens, nor for the fate of an earlier claim.
REQUEST_TIMEOUT = 0.2  # seconds


class PeerRequests:
    """Sends and serves requests.

    ``serve_quota`` answers as the owner of quota shards, ``claim_status`` tells what
    became of a claim token of this daemon.
    """

    def __init__(
        self,
        *,
        pool: CallPool,
        serve_quota: Callable[
            [TokenRequest | UsageReportBatch], Awaitable[QuotaResponse]
        ],
        claim_status: Callable[[str], ClaimStatus],
    ) -> None:
        self._pool = pool
        self._serve_quota = serve_quota
        self._claim_status = claim_status

    async def ask(self, owner: DaemonId, message: QuotaMessage) -> QuotaMessage | None:
        """Send a quota message; None if no valid reply came in time."""
        reply = await self._request(owner, message.to_wire())
        return None if reply is None else _parse_quota(reply)

    async def look_up_claim(self, daemon: DaemonId, token: str) -> ClaimStatus:
        """Ask the daemon that wrote a claim what became of it."""
        reply = await self._request(daemon, [CLAIM_STATUS, token])
        known = {status.value: status for status in ClaimStatus}
        if not isinstance(reply, str):
            return ClaimStatus.UNKNOWN
        return known.get(reply, ClaimStatus.UNKNOWN)

    async def serve(self, payload: Any) -> Any:
        """Return the reply to a request; None if it was not understood."""
        match payload:
            case [kind, str(token)] if kind == CLAIM_STATUS:
                return self._claim_status(token).value
        message = _parse_quota(payload)
        if not isinstance(message, TokenRequest | UsageReportBatch):
            return None
        return (await self._serve_quota(message)).to_wire()

    async def _request(self, daemon: DaemonId, payload: Any) -> Any:
        connection = await self._pool.connection_to(daemon)
        if connection is None:
            return None
        return await connection.request(payload, REQUEST_TIMEOUT)


def _parse_quota(wire: Any) -> QuotaMessage | None:
    try:
        return quota_message_from_wire(wire)
    except ProtocolError:
        metrics.MESSAGES_REFUSED.labels("malformed_quota").inc()
        return None
