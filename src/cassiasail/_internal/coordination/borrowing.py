"""Estimates of what other shards have, to choose whom an owner borrows from."""

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from functools import lru_cache
from typing import NamedTuple

from ..clock import Clock
from ..ids import DataCentre
from ..protocol.quotas import GrantLine
from ..state.lists import Allowance
from ..state.quotas import QuotaKey, ShardId, Share, Wanted, share_of

# Shards asked for one line at the same time.
FORWARD_WIDTH = 8
# A shard that had nothing is left alone for this long, doubling up to the maximum;
# a contended allowance would otherwise be asked for by every owner all the time.
FIRST_PAUSE = 0.1
LONGEST_PAUSE = 2.0
# A shard whose owner is unknown, unreachable or not the owner any more.
UNREACHABLE_PAUSE = 2.0
# Beyond this many hints the oldest are dropped.
MAX_HINTS = 20_000


@lru_cache(maxsize=4096)
def shares_of(key: QuotaKey, allowance: Allowance, total: int) -> tuple[Share, ...]:
    """Return the shares of an allowance by shard position."""
    return tuple(share_of(key, allowance, at, total) for at in range(total))


@dataclass(slots=True)
class _Hint:
    """What a shard had left of a key when last asked."""

    tokens: int
    permits: int
    at: float
    pause: float = 0.0
    paused_until: float = 0.0


class _Offer(NamedTuple):
    """Whole tokens and permits that a shard probably has."""

    tokens: int
    permits: int


class ShardEstimates:
    """What the other shards probably have left, by their latest answers.

    ``distance`` orders data centres; nearer ones are asked first.
    """

    def __init__(
        self,
        *,
        shards: Sequence[ShardId],
        distance: Callable[[DataCentre], float],
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._shards = shards
        self._distance = distance
        self._clock = clock
        self._rng = rng
        self._hint_by_id: dict[tuple[QuotaKey, ShardId], _Hint] = {}
        self._unreachable_until: dict[ShardId, float] = {}

    def plan(
        self, wanted: Wanted, allowance: Allowance, tried: set[ShardId]
    ) -> list[tuple[ShardId, Wanted]]:
        """Divide a line among near shards first, as far as they probably have it."""
        now = self._clock.now()
        shares = shares_of(wanted.key, allowance, len(self._shards))
        offers: list[tuple[float, float, float, ShardId, _Offer]] = []
        for shard, share in zip(self._shards, shares, strict=True):
            if shard in tried or self._unreachable_until.get(shard, 0.0) > now:
                continue
            offer = self._expected(wanted, shard, share, now)
            if offer.tokens >= 1 or offer.permits >= 1:
                distance = self._distance(shard.data_centre)
                order = (distance, -offer.tokens, self._rng.random())
                offers.append((*order, shard, offer))
        offers.sort(key=lambda item: item[:3])
        parts: list[tuple[ShardId, Wanted]] = []
        for *_, shard, offer in offers:
            part = _part(wanted, offer)
            if part.need or part.extra or part.permit_need:
                parts.append((shard, part))
                wanted = rest_of(wanted, part.need + part.extra, part.permit_need)
            if len(parts) == FORWARD_WIDTH or not (
                wanted.need or wanted.extra or wanted.permit_need
            ):
                break
        return parts

    def _expected(
        self, wanted: Wanted, shard: ShardId, share: Share, now: float
    ) -> _Offer:
        """Return what a shard probably has of what is wanted."""
        hint = self._hint_by_id.get((wanted.key, shard))
        tokens, permits = share.burst, float(share.in_flight)
        if hint is not None:
            if hint.paused_until > now:
                return _Offer(0, 0)
            tokens = min(tokens, hint.tokens + share.rate * (now - hint.at))
            # Permits come back at a pace unknown here; the pause limits the tries.
            permits = min(permits, max(1.0, float(hint.permits)))
        return _Offer(
            int(tokens) if wanted.need or wanted.extra else 0,
            int(permits) if wanted.permit_need else 0,
        )

    def note(self, wanted: Wanted, shard: ShardId, line: GrantLine) -> None:
        """Remember what a shard had left after it answered."""
        now = self._clock.now()
        hint = self._hint_by_id.setdefault((wanted.key, shard), _Hint(0, 0, now))
        hint.tokens, hint.permits, hint.at = line.left, line.permits_left, now
        if line.tokens or line.permits:
            hint.pause = hint.paused_until = 0.0
            return
        hint.pause = min(LONGEST_PAUSE, max(FIRST_PAUSE, 2 * hint.pause))
        hint.paused_until = now + hint.pause * self._rng.uniform(0.5, 1.0)

    def mark_unreachable(self, shard: ShardId) -> None:
        """Leave a shard alone for a while whose owner did not answer as such."""
        pause = UNREACHABLE_PAUSE * self._rng.uniform(0.5, 1.0)
        self._unreachable_until[shard] = self._clock.now() + pause

    def forget_oldest(self) -> None:
        """Bound the memory for hints."""
        while len(self._hint_by_id) > MAX_HINTS:
            self._hint_by_id.pop(next(iter(self._hint_by_id)))


def rest_of(wanted: Wanted, tokens: int, permits: int) -> Wanted:
    """Return what remains of a line after a grant."""
    need = max(0, wanted.need - tokens)
    extra = max(0, wanted.extra - max(0, tokens - wanted.need))
    permit_need = max(0, wanted.permit_need - permits)
    permit_extra = max(0, wanted.permit_extra - max(0, permits - wanted.permit_need))
    return wanted._replace(
        need=need, extra=extra, permit_need=permit_need, permit_extra=permit_extra
    )


def _part(wanted: Wanted, offer: _Offer) -> Wanted:
    """Return the part of a line that a shard with this offer probably covers."""
    need = min(wanted.need, offer.tokens)
    return wanted._replace(
        need=need,
        extra=min(wanted.extra, offer.tokens - need),
        permit_need=min(wanted.permit_need, offer.permits),
        permit_extra=0,
    )
