"""Which shard a daemon asks for an allowance, and the exchange with its owner."""

from collections.abc import Callable, Sequence

import xxhash

from .. import metrics
from ..clock import Clock
from ..ids import DaemonId, DataCentre
from ..protocol.quotas import QuotaAsk, QuotaGrant, QuotaMessage, QuotaReturn
from ..state.lists import Allowance
from ..state.quotas import QuotaKey, ShardId
from .borrowing import shares_of
from .quota_service import Ask, QuotaService
from .shard_directory import rank
from .shard_leases import ShardLeases

# A shard whose owner failed or was not the owner is avoided for this long, so that
# waiting calls go to another owner instead of a second timeout.
AVOID_FOR = 1.0


class OwnerLink:
    """Sends messages to owners; ``members`` are the living ones of the data centre."""

    def __init__(
        self,
        *,
        me: DaemonId,
        data_centre: DataCentre,
        shards: Sequence[ShardId],
        members: Callable[[], Sequence[DaemonId]],
        leases: ShardLeases,
        service: QuotaService,
        ask: Ask,
        clock: Clock,
    ) -> None:
        self._me = me
        self._members = members
        self._leases = leases
        self._service = service
        self._ask = ask
        self._clock = clock
        own = [s for s in shards if s.data_centre == data_centre]
        # Rendezvous by daemon spreads the daemons over the shards.
        self._own_shards = sorted(own, key=self._weight, reverse=True)
        self._other_shards = [s for s in shards if s.data_centre != data_centre]
        self._position_by_shard = {s: i for i, s in enumerate(shards)}
        self._avoid_until: dict[ShardId, float] = {}

    def home_of(self, key: QuotaKey, allowance: Allowance) -> ShardId:
        """Return the shard to ask: an own one with a share, if its owner answers.

        Another data centre is asked directly only if no own owner is known to
        answer.
        """
        now = self._clock.now()
        shares = shares_of(key, allowance, len(self._position_by_shard))

        def preference(shard: ShardId) -> tuple[bool, bool, bool]:
            share = shares[self._position_by_shard[shard]]
            answers = self._avoid_until.get(shard, 0.0) <= now
            known = self._leases.directory.owner_of(shard) is not None
            return answers, known, share.burst > 0

        best = max(self._own_shards, key=preference)
        if preference(best)[:2] == (True, True) or not self._other_shards:
            return best
        other = max(self._other_shards, key=preference)
        return other if preference(other)[:2] == (True, True) else best

    def known(self) -> int:
        """Return the digest of the owners known here, to be sent with an ask."""
        return self._leases.directory.digest

    def route_of_report(self, shard: ShardId) -> ShardId:
        """Return the shard whose owner takes reports on ``shard``."""
        return shard if shard in self._own_shards else self._own_shards[0]

    async def send(
        self, shard: ShardId, message: QuotaAsk | QuotaReturn
    ) -> QuotaGrant | None:
        """Send to the owner of a shard; None without an answer."""
        owner = self._leases.directory.owner_of(shard) or self._likely_owner(shard)
        answer: QuotaMessage | None
        if owner == self._me:
            answer = await self._service.handle(message)
        else:
            answer = await self._ask(owner, message)
        if not isinstance(answer, QuotaGrant):
            metrics.QUOTA_ASKS.labels("asker", "failed").inc()
            self._avoid(shard)
            return None
        outcome = "answered" if answer.owned else "not_owner"
        metrics.QUOTA_ASKS.labels("asker", outcome).inc()
        self._leases.directory.learn(answer.owners)
        known = self._leases.directory.owner_of(shard)
        if not answer.owned and known in (owner, None):
            self._avoid(shard)
            self._leases.request_scan()
        return answer

    def _likely_owner(self, shard: ShardId) -> DaemonId:
        # Before the first scan the first in rank probably owns the shard, and as a
        # peer it knows the others.
        ranked = rank(shard, self._members())
        return ranked[0] if ranked else self._me

    def _avoid(self, shard: ShardId) -> None:
        self._avoid_until[shard] = self._clock.now() + AVOID_FOR

    def _weight(self, shard: ShardId) -> int:
        name = f"{self._me}>{shard.data_centre}/{shard.number}"
        return xxhash.xxh3_64_intdigest(name.encode())
