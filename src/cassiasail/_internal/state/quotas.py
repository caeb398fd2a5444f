"""Accounting of one quota shard on the daemon that owns it.

The allowance of a customer holds for the whole fleet and is divided into quota shards,
whose rates, bursts and in-flight counts add up to it exactly. Each shard is a token
bucket. The owner of a shard grants tokens to other daemons and counts a granted token
as outstanding until the receiving daemon reports it as spent or returned, or until it
expires. Level plus outstanding tokens never exceeds the burst of the shard. Hence the
calls in any window of t seconds stay within rate * t + burst, however many daemons
hold tokens and whichever messages are lost.
"""

import heapq
from dataclasses import dataclass, field
from typing import NamedTuple

import xxhash

from .. import invariants
from ..clock import Clock
from ..ids import CustomerId, DataCentre, RoutePath, ServiceName
from .lists import Allowance

# Validity of a token, counted from the time at which the token request was sent.
TOKEN_VALIDITY_SECONDS = 0.5
# Clocks of VMs drift apart by up to 500 ppm: 5 ms over the longest permit (10 s).
CLOCK_DRIFT_MARGIN_SECONDS = 0.01
# Smallest burst of a shard, in tokens. A shard with less could not keep up with its
# rate: its tokens become grantable again only once reported spent, about every 100 ms.
MIN_BURST_PER_SHARD = 4
# Fraction of the tokens or permits left over after the waiting calls are covered that
# one daemon may prefetch.
PREFETCH_FRACTION = 0.5
# Tolerance for the rounding of repeated float additions; far below one token.
EPSILON = 1e-6

QuotaKey = tuple[CustomerId, ServiceName, RoutePath]


class ShardId(NamedTuple):
    """Identifies a quota shard: ``number`` counts the shards of a data centre."""

    data_centre: DataCentre
    number: int


class TokenRequestLine(NamedTuple):
    """The tokens and permits of one allowance that a daemon requests.

    The ``_needed`` counts are for calls that wait, the ``_prefetch`` counts for calls
    expected soon. ``requester`` and ``serial`` identify the line and the grant made
    for it.
    """

    requester: str
    serial: int
    key: QuotaKey
    tokens_needed: int
    tokens_prefetch: int
    permits_needed: int
    permits_prefetch: int


class UsageReport(NamedTuple):
    """How much of one grant was spent or returned so far.

    Counts are cumulative, so a report that arrives twice changes nothing.
    """

    requester: str
    serial: int
    shard: ShardId
    tokens_spent: int
    tokens_returned: int
    permits_returned: int


class Share(NamedTuple):
    """The part of an allowance that is assigned to one shard."""

    rate: float
    burst: float
    in_flight: int


class GrantedAmounts(NamedTuple):
    """Tokens and permits granted, and how many whole ones the shard has left."""

    tokens: int
    permits: int
    tokens_left: int
    permits_left: int


NOTHING_GRANTED = GrantedAmounts(0, 0, 0, 0)


def share_of(key: QuotaKey, allowance: Allowance, position: int, total: int) -> Share:
    """Return the share of the shard at ``position`` among ``total`` shards.

    In-flight units are divided among all shards. A burst too small for
    ``MIN_BURST_PER_SHARD`` on every shard goes to fewer, consecutive shards, starting
    at a position given by a hash of the key; the rate goes to the same shards. A higher
    burst only adds shards to them, so tokens already granted stay on their shard.
    """
    first_position = xxhash.xxh3_64_intdigest("\0".join(key).encode()) % total
    offset = (position - first_position) % total
    base_permits, extra_permits = divmod(allowance.in_flight, total)
    in_flight = base_permits + (offset < extra_permits)
    shards_with_tokens = max(1, min(total, allowance.burst // MIN_BURST_PER_SHARD))
    if offset >= shards_with_tokens:
        return Share(0.0, 0.0, in_flight)
    return Share(
        allowance.rate / shards_with_tokens,
        allowance.burst / shards_with_tokens,
        in_flight,
    )


# (requester, serial)
GrantId = tuple[str, int]


@dataclass(slots=True)
class _OutstandingGrant:
    """A grant with tokens or permits that are neither reported back nor expired.

    ``open_tokens`` and ``open_permits`` count those; the other counts are totals of the
    reports applied so far.
    """

    bucket: "_Bucket"
    granted: GrantedAmounts
    open_tokens: int
    open_permits: int
    tokens_spent: int = 0
    tokens_returned: int = 0
    permits_returned: int = 0

    def apply_report(self, report: UsageReport) -> None:
        """Apply the difference between a report and the reports applied before it."""
        tokens_spent = min(
            max(0, report.tokens_spent - self.tokens_spent), self.open_tokens
        )
        tokens_returned = min(
            max(0, report.tokens_returned - self.tokens_returned),
            self.open_tokens - tokens_spent,
        )
        permits_returned = min(
            max(0, report.permits_returned - self.permits_returned), self.open_permits
        )
        self.tokens_spent += tokens_spent
        self.tokens_returned += tokens_returned
        self.permits_returned += permits_returned
        self.open_tokens -= tokens_spent + tokens_returned
        self.open_permits -= permits_returned
        self.bucket.tokens_outstanding -= tokens_spent + tokens_returned
        self.bucket.permits_outstanding -= permits_returned
        self.bucket.restore(tokens_returned)

    def is_closed(self) -> bool:
        return self.open_tokens == 0 and self.open_permits == 0


@dataclass(slots=True)
class _Bucket:
    """The token bucket and the permit count of one allowance on one shard."""

    share: Share
    level: float
    updated_at: float
    tokens_outstanding: int = 0
    permits_outstanding: int = 0
    # (time, is_permit, grant id), earliest first.
    expiries: list[tuple[float, bool, GrantId]] = field(default_factory=list)

    def accrue(self, now: float) -> None:
        """Add the tokens that the rate yields up to ``now``, limited by the burst."""
        accrued = max(0.0, now - self.updated_at) * self.share.rate
        self.updated_at = max(self.updated_at, now)
        self.restore(accrued)

    def restore(self, tokens: float) -> None:
        """Add tokens, but keep level plus outstanding tokens within the burst."""
        free_capacity = max(0.0, self.share.burst - self.tokens_outstanding)
        self.level = min(free_capacity, self.level + tokens)

    def check(self) -> None:
        """Check the invariants of the level and of the outstanding counts."""
        is_within_burst = (
            self.level + self.tokens_outstanding <= self.share.burst + EPSILON
        )
        invariants.check(
            "quota_level_within_burst",
            # Once an allowance was lowered, older grants may exceed the new burst.
            (is_within_burst or self.level <= EPSILON) and self.level >= -EPSILON,
            f"level {self.level} outstanding {self.tokens_outstanding} "
            f"share {self.share}",
        )
        invariants.check(
            "quota_counts_not_negative",
            self.tokens_outstanding >= 0 and self.permits_outstanding >= 0,
            f"tokens {self.tokens_outstanding} permits {self.permits_outstanding}",
        )


class QuotaShard:
    """State of one quota shard on its owner; grants nothing once the lease expired.

    ``lease_started`` is the start of the store write that made this daemon the owner;
    the lease lasts ``term`` seconds from it. With ``had_owner``, grants of the previous
    owner may still be in use. Buckets then start empty and accrue only once all earlier
    tokens have expired, and permits are granted only after ``max_deadline`` seconds.
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
        self._lease_expiry = lease_started + term
        self._had_owner = had_owner
        now = clock.now()
        self._accrue_from = now + (
            TOKEN_VALIDITY_SECONDS + CLOCK_DRIFT_MARGIN_SECONDS if had_owner else 0
        )
        self._permits_from = now + (
            max_deadline + CLOCK_DRIFT_MARGIN_SECONDS if had_owner else 0
        )
        self._bucket_by_key: dict[QuotaKey, _Bucket] = {}
        self._grant_by_id: dict[GrantId, _OutstandingGrant] = {}

    def extend_lease(self, write_started: float) -> None:
        """Extend the lease to ``term`` seconds after the start of a committed write."""
        self._lease_expiry = max(self._lease_expiry, write_started + self._term)

    def is_lease_valid(self) -> bool:
        """Return whether the lease has not expired by this daemon's clock."""
        return self._clock.now() < self._lease_expiry

    def grant(
        self, line: TokenRequestLine, allowance: Allowance, permit_validity: float
    ) -> GrantedAmounts:
        """Grant up to the amounts requested in ``line``.

        A line that was received before gets the same grant again.
        """
        now = self._clock.now()
        # The process may have been suspended since the caller checked the lease.
        if now >= self._lease_expiry:
            return NOTHING_GRANTED
        grant_id = (line.requester, line.serial)
        earlier = self._grant_by_id.get(grant_id)
        if earlier is not None:
            return earlier.granted
        bucket = self._get_bucket(line.key, allowance, now)
        tokens = _grantable_amount(
            int(bucket.level + EPSILON), line.tokens_needed, line.tokens_prefetch
        )
        permits = permits_free = 0
        if now >= self._permits_from and permit_validity <= self._max_deadline:
            permits_free = max(0, bucket.share.in_flight - bucket.permits_outstanding)
            permits = _grantable_amount(
                permits_free, line.permits_needed, line.permits_prefetch
            )
        bucket.level -= tokens
        tokens_left = int(bucket.level + EPSILON)
        granted = GrantedAmounts(tokens, permits, tokens_left, permits_free - permits)
        if tokens or permits:
            self._record_grant(bucket, grant_id, granted, now, permit_validity)
        bucket.check()
        return granted

    def apply_report(self, report: UsageReport) -> None:
        """Apply a report on a grant; ignores unknown and expired grants."""
        grant_id = (report.requester, report.serial)
        grant = self._grant_by_id.get(grant_id)
        if grant is None:
            return
        # Expire grants first, so that a late report changes nothing.
        self._advance(grant.bucket, self._clock.now())
        grant.apply_report(report)
        if grant.is_closed():
            self._grant_by_id.pop(grant_id, None)
        grant.bucket.check()

    def sweep(self) -> None:
        """Remove buckets that are full and have nothing outstanding."""
        now = self._clock.now()
        for key, bucket in list(self._bucket_by_key.items()):
            self._advance(bucket, now)
            is_full = bucket.level >= bucket.share.burst - EPSILON
            if is_full and not bucket.expiries:
                # A new bucket would start equally full, so no tokens are gained.
                del self._bucket_by_key[key]

    def _get_bucket(self, key: QuotaKey, allowance: Allowance, now: float) -> _Bucket:
        """Return the bucket of a key, brought up to ``now`` and the allowance."""
        share = share_of(key, allowance, self._position, self._total)
        bucket = self._bucket_by_key.get(key)
        if bucket is None:
            level = share.burst
            if self._had_owner:
                level = min(level, max(0.0, now - self._accrue_from) * share.rate)
            bucket = _Bucket(share, level, max(now, self._accrue_from))
            self._bucket_by_key[key] = bucket
            return bucket
        self._advance(bucket, now)
        if bucket.share != share:
            bucket.share = share
            bucket.restore(0.0)
        return bucket

    def _record_grant(
        self,
        bucket: _Bucket,
        grant_id: GrantId,
        granted: GrantedAmounts,
        now: float,
        permit_validity: float,
    ) -> None:
        tokens, permits = granted.tokens, granted.permits
        bucket.tokens_outstanding += tokens
        bucket.permits_outstanding += permits
        self._grant_by_id[grant_id] = _OutstandingGrant(
            bucket, granted, tokens, permits
        )
        # The requester counts from its send time, so its copy expires earlier.
        if tokens:
            expiry = now + TOKEN_VALIDITY_SECONDS + CLOCK_DRIFT_MARGIN_SECONDS
            heapq.heappush(bucket.expiries, (expiry, False, grant_id))
        if permits:
            expiry = now + permit_validity + CLOCK_DRIFT_MARGIN_SECONDS
            heapq.heappush(bucket.expiries, (expiry, True, grant_id))
        invariants.check(
            "quota_permits_within_share",
            permits == 0 or bucket.permits_outstanding <= bucket.share.in_flight,
            f"{bucket.permits_outstanding} of {bucket.share.in_flight}",
        )

    def _advance(self, bucket: _Bucket, now: float) -> None:
        """Apply accrual and expiries up to ``now`` in chronological order."""
        while bucket.expiries and bucket.expiries[0][0] <= now:
            expiry, is_permit, grant_id = heapq.heappop(bucket.expiries)
            bucket.accrue(expiry)
            grant = self._grant_by_id.get(grant_id)
            if grant is None:
                continue
            if is_permit:
                bucket.permits_outstanding -= grant.open_permits
                grant.open_permits = 0
            else:
                bucket.tokens_outstanding -= grant.open_tokens
                grant.open_tokens = 0
            if grant.is_closed():
                del self._grant_by_id[grant_id]
        bucket.accrue(now)


def _grantable_amount(available: int, needed: int, prefetch: int) -> int:
    """Return how much of a request to grant from what is available.

    Covers ``needed`` first. Of the rest, at most ``PREFETCH_FRACTION`` goes to
    ``prefetch``.
    """
    covered = min(available, needed)
    spare = int((available - covered) * PREFETCH_FRACTION)
    return covered + min(spare, prefetch)
