"""Requests between daemons that get one reply: allowance tokens and claim status.

They are sent on the call connections, because daemons that send each other requests
also forward calls to each other.
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
# Longest time that a call waits for tokens or for the status of an earlier claim.
REQUEST_TIMEOUT_SECONDS = 0.2


class PeerRequests:
    """Sends requests to peers and serves theirs.

    ``serve_quota`` handles quota messages for the shards that this daemon owns,
    ``claim_status`` returns the status of a claim that this daemon wrote, by its token.
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

    async def send_quota_message(
        self, owner: DaemonId, message: QuotaMessage
    ) -> QuotaMessage | None:
        """Return the reply to a quota message, or None if no valid one came in time."""
        reply = await self._request(owner, message.to_wire())
        return None if reply is None else _parse_quota(reply)

    async def look_up_claim(self, daemon: DaemonId, token: str) -> ClaimStatus:
        """Return the status of a claim from the daemon that wrote it.

        Returns ``UNKNOWN`` if no valid reply came in time.
        """
        reply = await self._request(daemon, [CLAIM_STATUS, token])
        status_by_value = {status.value: status for status in ClaimStatus}
        if not isinstance(reply, str):
            return ClaimStatus.UNKNOWN
        return status_by_value.get(reply, ClaimStatus.UNKNOWN)

    async def serve(self, payload: Any) -> Any:
        """Return the reply to a request, or None if the request is malformed."""
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
        return await connection.request(payload, REQUEST_TIMEOUT_SECONDS)


def _parse_quota(wire: Any) -> QuotaMessage | None:
    try:
        return quota_message_from_wire(wire)
    except ProtocolError:
        metrics.MESSAGES_REFUSED.labels("malformed_quota").inc()
        return None
