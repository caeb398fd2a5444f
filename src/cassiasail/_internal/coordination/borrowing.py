"""Estimates of the tokens and permits of other shards.

An owner that cannot cover a token request itself uses them to select the shards to
which it forwards the rest.
"""

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from functools import lru_cache
from typing import NamedTuple

from ..clock import Clock
from ..ids import DataCentre
from ..protocol.quotas import GrantLine
from ..state.lists import Allowance
from ..state.quotas import QuotaKey, ShardId, Share, TokenRequestLine, share_of

# Shards to which one line is forwarded at the same time.
MAX_PARALLEL_SHARDS = 8
# A shard that granted nothing is skipped for this long, doubled each time up to the
# maximum; otherwise every owner would send requests for a contended allowance all the
# time.
FIRST_BACKOFF_SECONDS = 0.1
MAX_BACKOFF_SECONDS = 2.0
# A shard is skipped for this long if its owner is unknown, unreachable or no longer
# the owner.
UNREACHABLE_BACKOFF_SECONDS = 2.0
# Beyond this many estimates, the oldest are dropped.
MAX_ESTIMATES = 20_000


@lru_cache(maxsize=4096)
def shares_of(key: QuotaKey, allowance: Allowance, total: int) -> tuple[Share, ...]:
    """Return the shares of an allowance by shard position."""
    return tuple(share_of(key, allowance, position, total) for position in range(total))


@dataclass(slots=True)
class _Estimate:
    """Tokens and permits that a shard had left for a key in its latest response."""

    tokens: int
    permits: int
    updated_at: float
    backoff: float = 0.0
    skip_until: float = 0.0


class _Available(NamedTuple):
    """Whole tokens and permits that a shard probably has available."""

    tokens: int
    permits: int


class ShardEstimates:
    """Estimates what other shards have available, from their latest responses.

    ``distance`` returns the distance to a data centre; nearer shards come first.
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
        self._estimate_by_id: dict[tuple[QuotaKey, ShardId], _Estimate] = {}
        self._unreachable_until: dict[ShardId, float] = {}

    def split_line(
        self, line: TokenRequestLine, allowance: Allowance, excluded: set[ShardId]
    ) -> list[tuple[ShardId, TokenRequestLine]]:
        """Split a line among shards, by distance and by what they probably have.

        Shards that are excluded, unreachable or probably have nothing get no part, so
        the parts may cover less than the line.
        """
        now = self._clock.now()
        shares = shares_of(line.key, allowance, len(self._shards))
        candidates: list[tuple[float, float, float, ShardId, _Available]] = []
        for shard, share in zip(self._shards, shares, strict=True):
            if shard in excluded or self._unreachable_until.get(shard, 0.0) > now:
                continue
            available = self._estimate_available(line, shard, share, now)
            if available.tokens >= 1 or available.permits >= 1:
                distance = self._distance(shard.data_centre)
                sort_key = (distance, -available.tokens, self._rng.random())
                candidates.append((*sort_key, shard, available))
        candidates.sort(key=lambda candidate: candidate[:3])
        parts: list[tuple[ShardId, TokenRequestLine]] = []
        for *_, shard, available in candidates:
            part = _covered_part(line, available)
            if part.tokens_needed or part.tokens_prefetch or part.permits_needed:
                parts.append((shard, part))
                line = remaining_line(
                    line, part.tokens_needed + part.tokens_prefetch, part.permits_needed
                )
            if len(parts) == MAX_PARALLEL_SHARDS or not (
                line.tokens_needed or line.tokens_prefetch or line.permits_needed
            ):
                break
        return parts

    def _estimate_available(
        self, line: TokenRequestLine, shard: ShardId, share: Share, now: float
    ) -> _Available:
        """Return what a shard probably has available of the requested kinds."""
        estimate = self._estimate_by_id.get((line.key, shard))
        tokens, permits = share.burst, float(share.in_flight)
        if estimate is not None:
            if estimate.skip_until > now:
                return _Available(0, 0)
            tokens = min(
                tokens, estimate.tokens + share.rate * (now - estimate.updated_at)
            )
            # The rate at which permits are returned is unknown here, so at least one is
            # assumed to be free; the backoff limits the requests.
            permits = min(permits, max(1.0, float(estimate.permits)))
        return _Available(
            int(tokens) if line.tokens_needed or line.tokens_prefetch else 0,
            int(permits) if line.permits_needed else 0,
        )

    def record_response(
        self, line: TokenRequestLine, shard: ShardId, grant_line: GrantLine
    ) -> None:
        """Update the estimate for a shard from its response to a line."""
        now = self._clock.now()
        estimate = self._estimate_by_id.setdefault(
            (line.key, shard), _Estimate(0, 0, now)
        )
        estimate.tokens, estimate.permits, estimate.updated_at = (
            grant_line.tokens_left,
            grant_line.permits_left,
            now,
        )
        if grant_line.tokens or grant_line.permits:
            estimate.backoff = estimate.skip_until = 0.0
            return
        estimate.backoff = min(
            MAX_BACKOFF_SECONDS, max(FIRST_BACKOFF_SECONDS, 2 * estimate.backoff)
        )
        estimate.skip_until = now + estimate.backoff * self._rng.uniform(0.5, 1.0)

    def mark_unreachable(self, shard: ShardId) -> None:
        """Skip a shard for a while whose owner was not found or did not respond."""
        backoff = UNREACHABLE_BACKOFF_SECONDS * self._rng.uniform(0.5, 1.0)
        self._unreachable_until[shard] = self._clock.now() + backoff

    def trim_estimates(self) -> None:
        """Drop the oldest estimates beyond ``MAX_ESTIMATES``."""
        while len(self._estimate_by_id) > MAX_ESTIMATES:
            self._estimate_by_id.pop(next(iter(self._estimate_by_id)))


def remaining_line(
    line: TokenRequestLine, tokens: int, permits: int
) -> TokenRequestLine:
    """Return the part of a line that a grant did not cover."""
    tokens_needed = max(0, line.tokens_needed - tokens)
    tokens_prefetch = max(0, line.tokens_prefetch - max(0, tokens - line.tokens_needed))
    permits_needed = max(0, line.permits_needed - permits)
    permits_prefetch = max(
        0, line.permits_prefetch - max(0, permits - line.permits_needed)
    )
    return line._replace(
        tokens_needed=tokens_needed,
        tokens_prefetch=tokens_prefetch,
        permits_needed=permits_needed,
        permits_prefetch=permits_prefetch,
    )


def _covered_part(line: TokenRequestLine, available: _Available) -> TokenRequestLine:
    """Return the part of a line that the available amounts cover."""
    tokens_needed = min(line.tokens_needed, available.tokens)
    return line._replace(
        tokens_needed=tokens_needed,
        tokens_prefetch=min(line.tokens_prefetch, available.tokens - tokens_needed),
        permits_needed=min(line.permits_needed, available.permits),
        permits_prefetch=0,
    )
