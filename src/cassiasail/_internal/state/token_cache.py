"""The asker side of fleet-wide allowances: tokens and permits held by one daemon.

A token is usable until ``TOKEN_VALIDITY`` after the send time of the ask that brought
it, and is spent at most once. A permit is reused by one call after another as long
as it outlasts the deadline of the call.
"""

import math
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from .. import invariants
from ..clock import Clock
from .lists import Allowance
from .quotas import TOKEN_VALIDITY, QuotaKey, Report, ShardId

# Prefetch covers this many seconds of recent use: half the validity of a token, so
# that a prefetched token is usually spent before it expires.
PREFETCH_HORIZON = 0.25
# Slower use is not worth a prefetched token, which would mostly expire unspent.
MIN_PREFETCH_RATE = 1.0
# Unspent tokens go back this long before they expire, while the owner still takes
# them; covers the reporting interval and the latency.
RETURN_BEFORE = 0.15
# Weight of the newest interval in the moving average of use.
USE_WEIGHT = 0.4
# A holding is refilled once it falls to this part of its target; refilling earlier
# would cost an ask every tick.
REFILL_BELOW = 0.6
# Permits unused for this long go back to the owner, in seconds.
PERMIT_IDLE = 0.5


class Lot:
    """Tokens and permits of one grant line, as the asker holds them."""

    __slots__ = (
        "serial",
        "shard",
        "left",
        "spent",
        "returned",
        "tokens_until",
        "permits_free",
        "permits_used",
        "permits_returned",
        "permits_until",
        "reported",
    )

    def __init__(
        self,
        serial: int,
        shard: ShardId,
        tokens: int,
        permits: int,
        tokens_until: float,
        permits_until: float,
    ) -> None:
        self.serial = serial
        self.shard = shard
        self.left = tokens
        self.spent = 0
        self.returned = 0
        self.tokens_until = tokens_until
        self.permits_free = permits
        self.permits_used = 0
        self.permits_returned = 0
        self.permits_until = permits_until
        # (spent, returned, permits returned) as last reported.
        self.reported = (0, 0, 0)


class Grant:
    """The right to run one call until ``deadline``; give it to ``finished`` once."""

    __slots__ = ("holding", "permit_lot", "deadline", "is_finished")

    def __init__(self, holding: "Holding", permit_lot: Lot, deadline: float) -> None:
        self.holding = holding
        self.permit_lot = permit_lot
        self.deadline = deadline
        self.is_finished = False


@dataclass(slots=True)
class Holding:
    """What this daemon holds of one allowance, and how much it uses."""

    key: QuotaKey
    allowance: Allowance
    token_lots: deque[Lot] = field(default_factory=deque)
    permit_lots: list[Lot] = field(default_factory=list)
    used: int = 0
    use_rate: float = 0.0
    in_use: int = 0
    peak: int = 0
    # Calls that wait for this holding.
    waiting: int = 0
    permits_wanted_until: float = 0.0
    # The shard last asked had no free permit left: idle ones go back at once.
    permits_scarce: bool = False

    def take(self, now: float, deadline: float) -> Grant | None:
        """Spend a token and occupy a permit, or return None and change nothing."""
        token_lot = self._token_lot(now)
        if token_lot is None:
            return None
        for permit_lot in self.permit_lots:
            if permit_lot.permits_free and permit_lot.permits_until >= deadline:
                break
        else:
            return None
        token_lot.left -= 1
        token_lot.spent += 1
        permit_lot.permits_free -= 1
        permit_lot.permits_used += 1
        self.used += 1
        self.in_use += 1
        if self.in_use > self.peak:
            self.peak = self.in_use
        return Grant(self, permit_lot, deadline)

    def _token_lot(self, now: float) -> Lot | None:
        lots = self.token_lots
        while lots:
            lot = lots[0]
            if lot.left and now < lot.tokens_until:
                return lot
            # Its spent tokens still await a report, which TokenCache keeps.
            lots.popleft()
        return None

    def tokens_held(self, now: float) -> int:
        """Return the tokens that can be spent now."""
        return sum(lot.left for lot in self.token_lots if now < lot.tokens_until)

    def permits_held(self, until: float) -> int:
        """Return the free permits that last until ``until``."""
        lots = self.permit_lots
        return sum(lot.permits_free for lot in lots if lot.permits_until >= until)


class TokenCache:
    """All holdings of one daemon and the reports it owes to owners."""

    def __init__(self, *, clock: Clock, permit_validity: float) -> None:
        self._clock = clock
        self._permit_validity = permit_validity
        self.holding_by_key: dict[QuotaKey, Holding] = {}
        self._lot_by_id: dict[tuple[ShardId, int], Lot] = {}
        # Each report with the time after which its owner would ignore it.
        self._report_by_id: dict[tuple[ShardId, int], tuple[Report, float]] = {}
        self._swept = clock.now()

    def holding(self, key: QuotaKey, allowance: Allowance) -> Holding:
        """Return the holding of a key, made on first use."""
        holding = self.holding_by_key.get(key)
        if holding is None:
            holding = Holding(key, allowance)
            self.holding_by_key[key] = holding
        return holding

    def receive(
        self,
        holding: Holding,
        *,
        serial: int,
        shard: ShardId,
        tokens: int,
        permits: int,
        sent_at: float,
    ) -> None:
        """Take a grant whose ask was sent at ``sent_at``; a repeat is ignored."""
        lot_id = (shard, serial)
        if lot_id in self._lot_by_id or not (tokens or permits):
            return
        lot = Lot(
            serial,
            shard,
            tokens,
            permits,
            sent_at + TOKEN_VALIDITY,
            sent_at + self._permit_validity,
        )
        self._lot_by_id[lot_id] = lot
        if tokens:
            holding.token_lots.append(lot)
        if permits:
            holding.permit_lots.append(lot)

    def release_unseen(self, serial: int, shard: ShardId, limit: int) -> None:
        """Give back a grant whose answer did not arrive and is never used."""
        report = Report("", serial, shard, 0, limit, limit)
        until = self._clock.now() + self._permit_validity
        self._report_by_id[shard, serial] = (report, until)

    def finish(self, grant: Grant) -> None:
        """Free the permit of a call; a second time is a no-op."""
        if grant.is_finished:
            return
        grant.is_finished = True
        lot = grant.permit_lot
        lot.permits_used -= 1
        lot.permits_free += 1
        grant.holding.in_use -= 1
        invariants.check(
            "quota_permits_in_use_not_negative",
            lot.permits_used >= 0 and grant.holding.in_use >= 0,
            f"serial {lot.serial} of {lot.shard}",
        )

    def wanted(self, holding: Holding) -> tuple[int, int]:
        """Return how many tokens and permits to prefetch for recent use."""
        if holding.use_rate < MIN_PREFETCH_RATE:
            return 0, 0
        now = self._clock.now()
        target = math.ceil(holding.use_rate * PREFETCH_HORIZON)
        held = holding.tokens_held(now + RETURN_BEFORE)
        free = holding.permits_held(now + self._permit_validity / 2)
        permits = max(0, max(holding.peak, 1) - holding.in_use - free)
        if held > target * REFILL_BELOW:
            return 0, permits
        return target - held, permits

    def sweep(self) -> None:
        """Update the averages, return what is not needed, forget what lapsed."""
        now = self._clock.now()
        elapsed = max(1e-3, now - self._swept)
        self._swept = now
        for key, holding in list(self.holding_by_key.items()):
            newest = holding.used / elapsed
            holding.use_rate += USE_WEIGHT * (newest - holding.use_rate)
            holding.used = 0
            self._return_tokens(holding, now)
            self._return_permits(holding, now)
            idle = holding.use_rate < 1e-3 and not (holding.in_use or holding.waiting)
            if idle and not holding.token_lots and not holding.permit_lots:
                del self.holding_by_key[key]
        self.collect_reports()

    def take_reports(self, to: Callable[[ShardId], bool]) -> list[Report]:
        """Return and forget the reports on shards for which ``to`` holds."""
        taken = [r for r, _ in self._report_by_id.values() if to(r.shard)]
        for report in taken:
            del self._report_by_id[report.shard, report.serial]
        return taken

    def keep_reports(self, reports: Sequence[Report]) -> None:
        """Keep reports that did not arrive, unless newer ones exist."""
        until = self._clock.now() + TOKEN_VALIDITY
        for report in reports:
            lot_id = (report.shard, report.serial)
            # Permits stay counted for long, so their return is repeated for long.
            if report.permits_returned:
                until = self._clock.now() + self._permit_validity / 2
            self._report_by_id.setdefault(lot_id, (report, until))

    def shards_with_reports(self) -> set[ShardId]:
        """Return the shards that reports are due to."""
        return {shard for shard, _ in self._report_by_id}

    def collect_reports(self) -> None:
        """Add what changed since the last collection, ahead of the next ask."""
        now = self._clock.now()
        for lot_id, lot in list(self._lot_by_id.items()):
            counts = (lot.spent, lot.returned, lot.permits_returned)
            if counts != lot.reported:
                lot.reported = counts
                report = Report("", lot.serial, lot.shard, *counts)
                until = max(lot.tokens_until, lot.permits_until)
                self._report_by_id[lot_id] = (report, until)
            tokens_open = lot.left and now < lot.tokens_until
            permits_open = lot.permits_free or lot.permits_used
            if not tokens_open and not (permits_open and now < lot.permits_until):
                del self._lot_by_id[lot_id]
        for lot_id, (_, until) in list(self._report_by_id.items()):
            if now >= until:
                del self._report_by_id[lot_id]

    def _return_tokens(self, holding: Holding, now: float) -> None:
        for lot in holding.token_lots:
            if lot.left and lot.tokens_until - now <= RETURN_BEFORE:
                lot.returned += lot.left
                lot.left = 0
        holding.token_lots = deque(lot for lot in holding.token_lots if lot.left)

    def _return_permits(self, holding: Holding, now: float) -> None:
        if holding.in_use == holding.peak:
            holding.permits_wanted_until = now + PERMIT_IDLE
        elif now >= holding.permits_wanted_until:
            holding.peak = holding.in_use
            holding.permits_wanted_until = now + PERMIT_IDLE
        ready = holding.use_rate >= MIN_PREFETCH_RATE
        keep = max(holding.peak, int(ready)) - holding.in_use
        if holding.permits_scarce:
            keep = 0
        # The longest-lived are kept; those close to their end serve no new call.
        for lot in sorted(holding.permit_lots, key=_end_of_permits, reverse=True):
            lasting = lot.permits_until > now + self._permit_validity / 4
            kept = min(lot.permits_free, max(0, keep)) if lasting else 0
            keep -= kept
            lot.permits_returned += lot.permits_free - kept
            lot.permits_free = kept
        holding.permit_lots = [
            lot
            for lot in holding.permit_lots
            if (lot.permits_free or lot.permits_used) and now < lot.permits_until
        ]


def _end_of_permits(lot: Lot) -> float:
    return lot.permits_until
