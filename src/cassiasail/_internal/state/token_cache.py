"""Tokens and permits that this daemon was granted and has not used yet.

A token is usable until ``TOKEN_VALIDITY_SECONDS`` after its token request was sent and
is spent at most once. A permit allows one call at a time and is reused by later calls,
as long as it is valid up to the deadline of the call.
"""

import math
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from .. import invariants
from ..clock import Clock
from .lists import Allowance
from .quotas import TOKEN_VALIDITY_SECONDS, QuotaKey, ShardId, UsageReport

# Prefetching covers the calls of this time at the recent rate: half the validity of a
# token, so that a prefetched token is usually spent before it expires.
PREFETCH_HORIZON_SECONDS = 0.25
# At a lower call rate, most prefetched tokens would expire unspent.
MIN_PREFETCH_CALLS_PER_SECOND = 1.0
# Unspent tokens are returned this long before they expire, while the owner still
# accepts them; covers the reporting interval and the network latency.
RETURN_BEFORE_EXPIRY_SECONDS = 0.15
# Weight of the latest interval in the moving average of the call rate.
CALL_RATE_WEIGHT = 0.4
# Tokens are requested once the cache falls to this fraction of the prefetch target;
# a higher fraction would cost a token request at every tick.
REFILL_FRACTION = 0.6
# Permits that were not needed for this long are returned to the owner.
PERMIT_IDLE_SECONDS = 0.5


class ReceivedGrant:
    """Tokens and permits that one grant line brought, and how many are left."""

    __slots__ = (
        "serial",
        "shard",
        "tokens_left",
        "tokens_spent",
        "tokens_returned",
        "tokens_valid_until",
        "permits_free",
        "permits_in_use",
        "permits_returned",
        "permits_valid_until",
        "reported_counts",
    )

    def __init__(
        self,
        serial: int,
        shard: ShardId,
        tokens: int,
        permits: int,
        tokens_valid_until: float,
        permits_valid_until: float,
    ) -> None:
        self.serial = serial
        self.shard = shard
        self.tokens_left = tokens
        self.tokens_spent = 0
        self.tokens_returned = 0
        self.tokens_valid_until = tokens_valid_until
        self.permits_free = permits
        self.permits_in_use = 0
        self.permits_returned = 0
        self.permits_valid_until = permits_valid_until
        # (tokens spent, tokens returned, permits returned) as last reported.
        self.reported_counts = (0, 0, 0)


class CallGrant:
    """A spent token and an occupied permit, which allow one call until ``deadline``.

    The permit stays occupied until ``TokenCache.release_permit`` gets this grant.
    """

    __slots__ = ("entry", "permit_grant", "deadline", "is_finished")

    def __init__(
        self, entry: "CachedAllowance", permit_grant: ReceivedGrant, deadline: float
    ) -> None:
        self.entry = entry
        self.permit_grant = permit_grant
        self.deadline = deadline
        self.is_finished = False


@dataclass(slots=True)
class CachedAllowance:
    """Cached tokens and permits of one allowance, and its use on this daemon."""

    key: QuotaKey
    allowance: Allowance
    token_grants: deque[ReceivedGrant] = field(default_factory=deque)
    permit_grants: list[ReceivedGrant] = field(default_factory=list)
    # Calls that got a token since the last sweep.
    calls_started: int = 0
    # Moving average, updated by each sweep.
    calls_per_second: float = 0.0
    running_calls: int = 0
    # Highest ``running_calls`` of late; lowered after ``peak_valid_until``.
    peak_running_calls: int = 0
    # Calls that wait for a token or permit of this allowance.
    waiting_calls: int = 0
    peak_valid_until: float = 0.0
    # The shard that responded last had no free permit left; unused permits are then
    # returned at once.
    owner_out_of_permits: bool = False

    def try_take(self, now: float, deadline: float) -> CallGrant | None:
        """Spend a token and occupy a permit that is valid up to ``deadline``.

        Returns None and changes nothing if either is missing.
        """
        token_grant = self._first_usable_token_grant(now)
        if token_grant is None:
            return None
        for permit_grant in self.permit_grants:
            if (
                permit_grant.permits_free
                and permit_grant.permits_valid_until >= deadline
            ):
                break
        else:
            return None
        token_grant.tokens_left -= 1
        token_grant.tokens_spent += 1
        permit_grant.permits_free -= 1
        permit_grant.permits_in_use += 1
        self.calls_started += 1
        self.running_calls += 1
        if self.running_calls > self.peak_running_calls:
            self.peak_running_calls = self.running_calls
        return CallGrant(self, permit_grant, deadline)

    def _first_usable_token_grant(self, now: float) -> ReceivedGrant | None:
        """Return the oldest grant with a valid token; drop used and expired ones."""
        grants = self.token_grants
        while grants:
            received = grants[0]
            if received.tokens_left and now < received.tokens_valid_until:
                return received
            # TokenCache still keeps the grant to report its spent tokens.
            grants.popleft()
        return None

    def count_usable_tokens(self, at: float) -> int:
        """Return the number of tokens that are still valid at the time ``at``."""
        return sum(
            received.tokens_left
            for received in self.token_grants
            if at < received.tokens_valid_until
        )

    def count_usable_permits(self, until: float) -> int:
        """Return the number of free permits that are valid up to ``until``."""
        grants = self.permit_grants
        return sum(
            received.permits_free
            for received in grants
            if received.permits_valid_until >= until
        )


class TokenCache:
    """Cached tokens and permits of one daemon, and its unsent usage reports."""

    def __init__(self, *, clock: Clock, permit_validity: float) -> None:
        self._clock = clock
        self._permit_validity = permit_validity
        self.entry_by_key: dict[QuotaKey, CachedAllowance] = {}
        self._received_by_id: dict[tuple[ShardId, int], ReceivedGrant] = {}
        # Each report with the time from which the owner ignores it.
        self._report_by_id: dict[tuple[ShardId, int], tuple[UsageReport, float]] = {}
        self._last_sweep_at = clock.now()

    def get_or_add(self, key: QuotaKey, allowance: Allowance) -> CachedAllowance:
        """Return the entry of a key; creates it on first use."""
        entry = self.entry_by_key.get(key)
        if entry is None:
            entry = CachedAllowance(key, allowance)
            self.entry_by_key[key] = entry
        return entry

    def add_grant(
        self,
        entry: CachedAllowance,
        *,
        serial: int,
        shard: ShardId,
        tokens: int,
        permits: int,
        sent_at: float,
    ) -> None:
        """Add a grant whose token request was sent at ``sent_at``.

        Ignores a grant that was added before.
        """
        grant_id = (shard, serial)
        if grant_id in self._received_by_id or not (tokens or permits):
            return
        received = ReceivedGrant(
            serial,
            shard,
            tokens,
            permits,
            sent_at + TOKEN_VALIDITY_SECONDS,
            sent_at + self._permit_validity,
        )
        self._received_by_id[grant_id] = received
        if tokens:
            entry.token_grants.append(received)
        if permits:
            entry.permit_grants.append(received)

    def return_unreceived(self, serial: int, shard: ShardId, limit: int) -> None:
        """Queue a report that returns a grant whose response was lost.

        ``limit`` is an upper bound of the tokens and permits that it had.
        """
        report = UsageReport("", serial, shard, 0, limit, limit)
        until = self._clock.now() + self._permit_validity
        self._report_by_id[shard, serial] = (report, until)

    def release_permit(self, grant: CallGrant) -> None:
        """Free the permit of a call that ended; a second call does nothing."""
        if grant.is_finished:
            return
        grant.is_finished = True
        received = grant.permit_grant
        received.permits_in_use -= 1
        received.permits_free += 1
        grant.entry.running_calls -= 1
        invariants.check(
            "quota_permits_in_use_not_negative",
            received.permits_in_use >= 0 and grant.entry.running_calls >= 0,
            f"serial {received.serial} of {received.shard}",
        )

    def prefetch_amounts(self, entry: CachedAllowance) -> tuple[int, int]:
        """Return how many tokens and permits to prefetch for the recent call rate."""
        if entry.calls_per_second < MIN_PREFETCH_CALLS_PER_SECOND:
            return 0, 0
        now = self._clock.now()
        target = math.ceil(entry.calls_per_second * PREFETCH_HORIZON_SECONDS)
        usable_tokens = entry.count_usable_tokens(now + RETURN_BEFORE_EXPIRY_SECONDS)
        usable_permits = entry.count_usable_permits(now + self._permit_validity / 2)
        permits = max(
            0, max(entry.peak_running_calls, 1) - entry.running_calls - usable_permits
        )
        if usable_tokens > target * REFILL_FRACTION:
            return 0, permits
        return target - usable_tokens, permits

    def sweep(self) -> None:
        """Update call rates, return unneeded tokens and permits, drop expired ones."""
        now = self._clock.now()
        elapsed = max(1e-3, now - self._last_sweep_at)
        self._last_sweep_at = now
        for key, entry in list(self.entry_by_key.items()):
            latest_rate = entry.calls_started / elapsed
            entry.calls_per_second += CALL_RATE_WEIGHT * (
                latest_rate - entry.calls_per_second
            )
            entry.calls_started = 0
            self._return_tokens(entry, now)
            self._return_permits(entry, now)
            is_idle = entry.calls_per_second < 1e-3 and not (
                entry.running_calls or entry.waiting_calls
            )
            if is_idle and not entry.token_grants and not entry.permit_grants:
                del self.entry_by_key[key]
        self.collect_reports()

    def pop_reports(self, includes: Callable[[ShardId], bool]) -> list[UsageReport]:
        """Remove and return the reports on shards for which ``includes`` is true."""
        popped = [r for r, _ in self._report_by_id.values() if includes(r.shard)]
        for report in popped:
            del self._report_by_id[report.shard, report.serial]
        return popped

    def requeue_reports(self, reports: Sequence[UsageReport]) -> None:
        """Queue reports that were not delivered, unless newer ones are queued."""
        now = self._clock.now()
        for report in reports:
            grant_id = (report.shard, report.serial)
            # The owner counts permits for longer than tokens, so a report that returns
            # permits is retried for longer.
            seconds = (
                self._permit_validity / 2
                if report.permits_returned
                else TOKEN_VALIDITY_SECONDS
            )
            self._report_by_id.setdefault(grant_id, (report, now + seconds))

    def shards_with_reports(self) -> set[ShardId]:
        """Return the shards that queued reports are about."""
        return {shard for shard, _ in self._report_by_id}

    def collect_reports(self) -> None:
        """Queue a report for each grant whose counts changed since the last report.

        Drops grants and queued reports that have expired.
        """
        now = self._clock.now()
        for grant_id, received in list(self._received_by_id.items()):
            counts = (
                received.tokens_spent,
                received.tokens_returned,
                received.permits_returned,
            )
            if counts != received.reported_counts:
                received.reported_counts = counts
                report = UsageReport("", received.serial, received.shard, *counts)
                until = max(received.tokens_valid_until, received.permits_valid_until)
                self._report_by_id[grant_id] = (report, until)
            has_open_tokens = received.tokens_left and now < received.tokens_valid_until
            has_open_permits = received.permits_free or received.permits_in_use
            if not has_open_tokens and not (
                has_open_permits and now < received.permits_valid_until
            ):
                del self._received_by_id[grant_id]
        for grant_id, (_, until) in list(self._report_by_id.items()):
            if now >= until:
                del self._report_by_id[grant_id]

    def _return_tokens(self, entry: CachedAllowance, now: float) -> None:
        """Mark unspent tokens that are about to expire as returned."""
        for received in entry.token_grants:
            if (
                received.tokens_left
                and received.tokens_valid_until - now <= RETURN_BEFORE_EXPIRY_SECONDS
            ):
                received.tokens_returned += received.tokens_left
                received.tokens_left = 0
        entry.token_grants = deque(
            received for received in entry.token_grants if received.tokens_left
        )

    def _return_permits(self, entry: CachedAllowance, now: float) -> None:
        """Mark free permits beyond the recent peak of running calls as returned."""
        if entry.running_calls == entry.peak_running_calls:
            entry.peak_valid_until = now + PERMIT_IDLE_SECONDS
        elif now >= entry.peak_valid_until:
            entry.peak_running_calls = entry.running_calls
            entry.peak_valid_until = now + PERMIT_IDLE_SECONDS
        is_prefetching = entry.calls_per_second >= MIN_PREFETCH_CALLS_PER_SECOND
        permits_to_keep = (
            max(entry.peak_running_calls, int(is_prefetching)) - entry.running_calls
        )
        if entry.owner_out_of_permits:
            permits_to_keep = 0
        # Keeps the permits that are valid longest. One that expires soon can serve no
        # new call.
        for received in sorted(entry.permit_grants, key=_permit_expiry, reverse=True):
            is_valid_long_enough = (
                received.permits_valid_until > now + self._permit_validity / 4
            )
            kept = (
                min(received.permits_free, max(0, permits_to_keep))
                if is_valid_long_enough
                else 0
            )
            permits_to_keep -= kept
            received.permits_returned += received.permits_free - kept
            received.permits_free = kept
        entry.permit_grants = [
            received
            for received in entry.permit_grants
            if (received.permits_free or received.permits_in_use)
            and now < received.permits_valid_until
        ]


def _permit_expiry(received: ReceivedGrant) -> float:
    return received.permits_valid_until
