"""The owner side of fleet-wide allowances: one shard of every allowance.

An allowance is split into shards whose rates, bursts and in-flight units add up to
it exactly. A shard counts the tokens it granted as outstanding until their holder
reports them spent or they expire; level plus outstanding never exceeds the shard's
burst. Hence the calls in any window of t seconds stay within rate * t + burst,
however many daemons hold tokens and whichever messages are lost.
"""

import heapq
from dataclasses import dataclass, field
from typing import NamedTuple

import xxhash

from .. import invariants
from ..clock import Clock
from ..ids import CustomerId, DataCentre, RoutePath, ServiceName
from .lists import Allowance

# Validity of a token from the send time of the ask, in seconds.
TOKEN_VALIDITY = 0.5
# Clocks of VMs drift apart by up to 500 ppm; over the longest permit (10 s) 5 ms.
DRIFT_MARGIN = 0.01
# A smaller burst per shard could not keep up with its rate: its tokens return only
# once their spending is reported, about every 100 ms.
MIN_BURST_SHARE = 4
# Share of what is left that one daemon may prefetch beyond its waiting calls.
PREFETCH_SHARE = 0.5
# Absorbs rounding of repeated float additions; far below one token.
EPSILON = 1e-6

QuotaKey = tuple[CustomerId, ServiceName, RoutePath]


class ShardId(NamedTuple):
    """Shard ``number`` of a data centre."""

    data_centre: DataCentre
    number: int


class Wanted(NamedTuple):
    """What an asker wants: ``need`` for waiting calls, ``extra`` to prefetch."""

    asker: str
    serial: int
    key: QuotaKey
    need: int
    extra: int
    permit_need: int
    permit_extra: int


class Report(NamedTuple):
    """What became of a grant so far; counts are cumulative, so repeats do no harm."""

    asker: str
    serial: int
    shard: ShardId
    spent: int
    returned: int
    permits_returned: int


class Share(NamedTuple):
    """The part of an allowance that one shard holds."""

    rate: float
    burst: float
    in_flight: int


class Granted(NamedTuple):
    """Tokens and permits granted, and the whole ones that remain."""

    tokens: int
    permits: int
    left: int
    permits_left: int


NOTHING_GRANTED = Granted(0, 0, 0, 0)


def share_of(key: QuotaKey, allowance: Allowance, position: int, total: int) -> Share:
    """Return the share of the shard at ``position`` among ``total`` shards.

    A burst too small for all shards is dealt to the first few after a start given by
    a hash of the key, and the rate goes to the same shards. Raising the burst only
    adds shards, so a change does not move tokens that are already in use.
    """
    start = xxhash.xxh3_64_intdigest("\0".join(key).encode()) % total
    rank = (position - start) % total
    units, rest = divmod(allowance.in_flight, total)
    in_flight = units + (rank < rest)
    holders = max(1, min(total, allowance.burst // MIN_BURST_SHARE))
    if rank >= holders:
        return Share(0.0, 0.0, in_flight)
    return Share(allowance.rate / holders, allowance.burst / holders, in_flight)


GrantId = tuple[str, int]


@dataclass(slots=True)
class _Outstanding:
    """A grant as the owner knows it; ``tokens`` and ``permits`` are the open ones."""

    bucket: "_Bucket"
    granted: Granted
    tokens: int
    permits: int
    spent: int = 0
    returned: int = 0
    permits_returned: int = 0

    def settle(self, report: Report) -> None:
        """Apply what a report says beyond the reports before it."""
        spent = min(max(0, report.spent - self.spent), self.tokens)
        returned = min(max(0, report.returned - self.returned), self.tokens - spent)
        permits = min(
            max(0, report.permits_returned - self.permits_returned), self.permits
        )
        self.spent += spent
        self.returned += returned
        self.permits_returned += permits
        self.tokens -= spent + returned
        self.permits -= permits
        self.bucket.outstanding -= spent + returned
        self.bucket.permits_out -= permits
        self.bucket.restore(returned)

    def is_closed(self) -> bool:
        return self.tokens == 0 and self.permits == 0


@dataclass(slots=True)
class _Bucket:
    share: Share
    level: float
    updated: float
    outstanding: int = 0
    permits_out: int = 0
    # (time, is_permit, grant id), earliest first.
    expiries: list[tuple[float, bool, GrantId]] = field(default_factory=list)

    def accrue(self, now: float) -> None:
        """Add what the rate yields up to ``now``, bounded by the burst."""
        gained = max(0.0, now - self.updated) * self.share.rate
        self.updated = max(self.updated, now)
        self.restore(gained)

    def restore(self, tokens: float) -> None:
        """Add tokens as far as level plus outstanding stays within the burst."""
        room = max(0.0, self.share.burst - self.outstanding)
        self.level = min(room, self.level + tokens)

    def check(self) -> None:
        """Check that the bucket holds no more than its share."""
        within = self.level + self.outstanding <= self.share.burst + EPSILON
        invariants.check(
            "quota_level_within_burst",
            # After a lowered allowance old grants may exceed the new burst.
            (within or self.level <= EPSILON) and self.level >= -EPSILON,
            f"level {self.level} outstanding {self.outstanding} share {self.share}",
        )
        invariants.check(
            "quota_counts_not_negative",
            self.outstanding >= 0 and self.permits_out >= 0,
            f"tokens {self.outstanding} permits {self.permits_out}",
        )


class QuotaShard:
    """One shard as its owner holds it; every use first checks the lease.

    ``lease_started`` is the start of the write that made this daemon the owner.
    ``had_owner`` tells that grants of a predecessor may still be in use: tokens then
    accrue from nothing after their validity, and permits wait for ``max_deadline``.
    """

    def __init__(
        self,
        *,
        shard: ShardId,
        position: int,
        total: int,
        clock: Clock,
        term: float,
        max_deadline: float,
        lease_started: float,
        had_owner: bool,
    ) -> None:
        self.shard = shard
        self._position = position
        self._total = total
        self._clock = clock
        self._term = term
        self._max_deadline = max_deadline
        self._lease_until = lease_started + term
        self._had_owner = had_owner
        now = clock.now()
        self._accrues_from = now + (TOKEN_VALIDITY + DRIFT_MARGIN if had_owner else 0)
        self._permits_from = now + (max_deadline + DRIFT_MARGIN if had_owner else 0)
        self._bucket_by_key: dict[QuotaKey, _Bucket] = {}
        self._grant_by_id: dict[GrantId, _Outstanding] = {}

    def confirm(self, write_started: float) -> None:
        """Extend the lease from the start of a write that took effect."""
        self._lease_until = max(self._lease_until, write_started + self._term)

    def is_usable(self) -> bool:
        """Return whether the lease still holds by this daemon's own clock."""
        return self._clock.now() < self._lease_until

    def grant(
        self, wanted: Wanted, allowance: Allowance, permit_validity: float
    ) -> Granted:
        """Grant up to what is wanted; a repeated ask gets its first answer again."""
        now = self._clock.now()
        # A daemon paused since its last check must not grant from a lapsed lease.
        if now >= self._lease_until:
            return NOTHING_GRANTED
        grant_id = (wanted.asker, wanted.serial)
        known = self._grant_by_id.get(grant_id)
        if known is not None:
            return known.granted
        bucket = self._bucket(wanted.key, allowance, now)
        tokens = _portion(int(bucket.level + EPSILON), wanted.need, wanted.extra)
        permits = free = 0
        if now >= self._permits_from and permit_validity <= self._max_deadline:
            free = max(0, bucket.share.in_flight - bucket.permits_out)
            permits = _portion(free, wanted.permit_need, wanted.permit_extra)
        bucket.level -= tokens
        left = int(bucket.level + EPSILON)
        granted = Granted(tokens, permits, left, free - permits)
        if tokens or permits:
            self._record(bucket, grant_id, granted, now, permit_validity)
        bucket.check()
        return granted

    def settle(self, report: Report) -> None:
        """Take a report on a grant; unknown and expired grants are ignored."""
        grant_id = (report.asker, report.serial)
        grant = self._grant_by_id.get(grant_id)
        if grant is None:
            return
        # Before the report is applied, so that late reports find expired grants.
        self._advance(grant.bucket, self._clock.now())
        grant.settle(report)
        if grant.is_closed():
            self._grant_by_id.pop(grant_id, None)
        grant.bucket.check()

    def sweep(self) -> None:
        """Forget buckets that are full and have nothing outstanding."""
        now = self._clock.now()
        for key, bucket in list(self._bucket_by_key.items()):
            self._advance(bucket, now)
            full = bucket.level >= bucket.share.burst - EPSILON
            if full and not bucket.expiries:
                # A bucket made anew is as full as this one, so nothing is gained.
                del self._bucket_by_key[key]

    def _bucket(self, key: QuotaKey, allowance: Allowance, now: float) -> _Bucket:
        share = share_of(key, allowance, self._position, self._total)
        bucket = self._bucket_by_key.get(key)
        if bucket is None:
            level = share.burst
            if self._had_owner:
                level = min(level, max(0.0, now - self._accrues_from) * share.rate)
            bucket = _Bucket(share, level, max(now, self._accrues_from))
            self._bucket_by_key[key] = bucket
            return bucket
        self._advance(bucket, now)
        if bucket.share != share:
            bucket.share = share
            bucket.restore(0.0)
        return bucket

    def _record(
        self,
        bucket: _Bucket,
        grant_id: GrantId,
        granted: Granted,
        now: float,
        permit_validity: float,
    ) -> None:
        tokens, permits = granted.tokens, granted.permits
        bucket.outstanding += tokens
        bucket.permits_out += permits
        self._grant_by_id[grant_id] = _Outstanding(bucket, granted, tokens, permits)
        # The asker counts from its send time, which is earlier than now.
        if tokens:
            expiry = now + TOKEN_VALIDITY + DRIFT_MARGIN
            heapq.heappush(bucket.expiries, (expiry, False, grant_id))
        if permits:
            expiry = now + permit_validity + DRIFT_MARGIN
            heapq.heappush(bucket.expiries, (expiry, True, grant_id))
        invariants.check(
            "quota_permits_within_share",
            permits == 0 or bucket.permits_out <= bucket.share.in_flight,
            f"{bucket.permits_out} of {bucket.share.in_flight}",
        )

    def _advance(self, bucket: _Bucket, now: float) -> None:
        """Accrue and expire in the order of time up to ``now``."""
        while bucket.expiries and bucket.expiries[0][0] <= now:
            when, is_permit, grant_id = heapq.heappop(bucket.expiries)
            bucket.accrue(when)
            grant = self._grant_by_id.get(grant_id)
            if grant is None:
                continue
            if is_permit:
                bucket.permits_out -= grant.permits
                grant.permits = 0
            else:
                bucket.outstanding -= grant.tokens
                grant.tokens = 0
            if grant.is_closed():
                del self._grant_by_id[grant_id]
        bucket.accrue(now)


def _portion(available: int, need: int, extra: int) -> int:
    """Return all of the need and a part of the extra that ``available`` covers."""
    needed = min(available, need)
    spare = int((available - needed) * PREFETCH_SHARE)
    return needed + min(spare, extra)
