"""Selects the shard for a token request and sends messages to its owner."""

from collections.abc import Callable, Sequence

import xxhash

from .. import metrics
from ..clock import Clock
from ..ids import DaemonId, DataCentre
from ..protocol.quotas import (
    QuotaMessage,
    QuotaResponse,
    TokenRequest,
    UsageReportBatch,
)
from ..state.lists import Allowance
from ..state.quotas import QuotaKey, ShardId
from .borrowing import shares_of
from .quota_service import QuotaService, SendToPeer
from .shard_directory import rank_members
from .shard_leases import ShardLeases

# A shard is avoided for this long after its owner failed or was not the owner, so that
# waiting calls go to another owner and do not run into a second timeout.
AVOID_SECONDS = 1.0


class OwnerLink:
    """Sends messages to shard owners.

    ``members`` returns the living daemons of the data centre, ``send_to_peer`` sends a
    message to another daemon and returns None on failure.
    """

    def __init__(
        self,
        *,
        me: DaemonId,
        data_centre: DataCentre,
        shards: Sequence[ShardId],
        members: Callable[[], Sequence[DaemonId]],
        leases: ShardLeases,
        service: QuotaService,
        send_to_peer: SendToPeer,
        clock: Clock,
    ) -> None:
        self._me = me
        self._members = members
        self._leases = leases
        self._service = service
        self._send_to_peer = send_to_peer
        self._clock = clock
        local_shards = [s for s in shards if s.data_centre == data_centre]
        # The rendezvous hash spreads the daemons evenly over the shards.
        self._local_shards = sorted(
            local_shards, key=self._rendezvous_weight, reverse=True
        )
        self._remote_shards = [s for s in shards if s.data_centre != data_centre]
        self._position_by_shard = {s: i for i, s in enumerate(shards)}
        self._avoid_until: dict[ShardId, float] = {}

    def select_shard(self, key: QuotaKey, allowance: Allowance) -> ShardId:
        """Return the shard to which a token request for ``key`` is sent.

        Prefers a local shard that has tokens of the allowance. A shard of another data
        centre is returned only if every local shard lacks a known owner or is avoided.
        """
        now = self._clock.now()
        shares = shares_of(key, allowance, len(self._position_by_shard))

        def preference(shard: ShardId) -> tuple[bool, bool, bool]:
            share = shares[self._position_by_shard[shard]]
            is_not_avoided = self._avoid_until.get(shard, 0.0) <= now
            has_owner = self._leases.directory.owner_of(shard) is not None
            return is_not_avoided, has_owner, share.burst > 0

        best_local = max(self._local_shards, key=preference)
        if preference(best_local)[:2] == (True, True) or not self._remote_shards:
            return best_local
        best_remote = max(self._remote_shards, key=preference)
        return (
            best_remote if preference(best_remote)[:2] == (True, True) else best_local
        )

    def directory_digest(self) -> int:
        """Return the digest of the owner directory, to send it with a request."""
        return self._leases.directory.digest

    def select_report_shard(self, shard: ShardId) -> ShardId:
        """Return the shard to whose owner reports on ``shard`` are sent.

        Reports on shards of other data centres go to a local owner, which forwards
        them.
        """
        return shard if shard in self._local_shards else self._local_shards[0]

    async def send(
        self, shard: ShardId, message: TokenRequest | UsageReportBatch
    ) -> QuotaResponse | None:
        """Send a message to the owner of a shard; None if no response arrived.

        Avoids the shard for a while if there was no response or if the receiver does
        not own it and names no other owner.
        """
        owner = self._leases.directory.owner_of(shard) or self._likely_owner(shard)
        response: QuotaMessage | None
        if owner == self._me:
            response = await self._service.handle(message)
        else:
            response = await self._send_to_peer(owner, message)
        if not isinstance(response, QuotaResponse):
            metrics.QUOTA_ASKS.labels("asker", "failed").inc()
            self._avoid(shard)
            return None
        outcome = "answered" if response.is_owner else "not_owner"
        metrics.QUOTA_ASKS.labels("asker", outcome).inc()
        self._leases.directory.merge(response.owners)
        current_owner = self._leases.directory.owner_of(shard)
        if not response.is_owner and current_owner in (owner, None):
            self._avoid(shard)
            self._leases.request_scan()
        return response

    def _likely_owner(self, shard: ShardId) -> DaemonId:
        # Until the first scan of the rows, the first member by rank probably owns the
        # shard. If it does not, its response names the current owners.
        ranked = rank_members(shard, self._members())
        return ranked[0] if ranked else self._me

    def _avoid(self, shard: ShardId) -> None:
        """Prefer other shards than this one for ``AVOID_SECONDS``."""
        self._avoid_until[shard] = self._clock.now() + AVOID_SECONDS

    def _rendezvous_weight(self, shard: ShardId) -> int:
        name = f"{self._me}>{shard.data_centre}/{shard.number}"
        return xxhash.xxh3_64_intdigest(name.encode())
