"""Answers asks as the owner of quota shards and borrows from other owners.

An owner that cannot cover the waiting calls of an ask forwards the rest to owners
that probably have tokens. Grants pass through unchanged, each to one asker, so the
granting shard alone accounts for its tokens. Forwarded lines of many askers travel
in one message.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from functools import lru_cache

from .. import metrics
from ..clock import Clock
from ..ids import DaemonId, DataCentre
from ..protocol.quotas import GrantLine, QuotaAsk, QuotaGrant, QuotaMessage, QuotaReturn
from ..state.lists import Allowance
from ..state.quotas import (
    Granted,
    QuotaKey,
    Report,
    ShardId,
    Share,
    Wanted,
    share_of,
)
from .shard_leases import ShardLeases

# Lines for the same shard are collected for this long before they are forwarded.
FORWARD_DELAY = 0.004
# Other shards asked for one line, one after the other.
FORWARD_ROUNDS = 3
# An ask is answered with what is there after this long; the asker waits 200 ms.
FORWARD_LIMIT = 0.08
# A shard that had nothing is left alone for this long, doubling up to the maximum;
# a contended allowance would otherwise be asked for by every owner all the time.
FIRST_PAUSE = 0.1
LONGEST_PAUSE = 2.0
# A shard whose owner is unknown, unreachable or not the owner any more.
UNREACHABLE_PAUSE = 2.0
# Beyond this many hints the oldest are dropped.
MAX_HINTS = 20_000
# Grants that an unseen answer may have contained are returned in full.
ALL = 1 << 40

Ask = Callable[[DaemonId, QuotaMessage], Awaitable[QuotaMessage | None]]


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


class QuotaService:
    """The owner side of one daemon.

    ``ask`` sends a message to another daemon and returns None on failure.
    ``distance`` orders data centres; nearer ones are asked first.
    """

    def __init__(
        self,
        *,
        me: DaemonId,
        shards: Sequence[ShardId],
        leases: ShardLeases,
        ask: Ask,
        allowance_of: Callable[[QuotaKey], Allowance | None],
        distance: Callable[[DataCentre], float],
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._me = me
        self._shards = shards
        self._leases = leases
        self._ask = ask
        self._allowance_of = allowance_of
        self._distance = distance
        self._clock = clock
        self._rng = rng
        self._hint_by_id: dict[tuple[QuotaKey, ShardId], _Hint] = {}
        self._unreachable_until: dict[ShardId, float] = {}
        self._outbox: dict[
            tuple[ShardId, int], list[tuple[Wanted, asyncio.Future[GrantLine | None]]]
        ] = {}
        self._relayed: dict[ShardId, dict[tuple[str, int], Report]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def handle(self, message: QuotaAsk | QuotaReturn) -> QuotaGrant:
        """Answer a message of a peer, or of this daemon's own exchange."""
        forwarded = isinstance(message, QuotaAsk) and message.forwarded
        for report in message.reports:
            self._take_report(message.asker, report, relay=not forwarded)
        if isinstance(message, QuotaReturn):
            return QuotaGrant(owned=True)
        if self._leases.usable(message.shard) is None:
            owners = self._leases.directory.rows()
            return QuotaGrant(owned=False, owners=owners)
        lines: list[GrantLine] = []
        short: list[tuple[Wanted, Allowance]] = []
        for line in message.wanted:
            wanted = line if line.asker else line._replace(asker=message.asker)
            self._grant(message, wanted, lines, short)
        if short and not forwarded:
            borrows = (self._borrow(message, line, allow) for line, allow in short)
            for borrowed in await asyncio.gather(*borrows):
                lines.extend(borrowed)
        return QuotaGrant(owned=True, lines=tuple(lines))

    async def run_once(self) -> None:
        """Pass on reports, forget idle buckets and old hints; about every 100 ms."""
        for shard in list(self._leases.shard_by_id):
            owned = self._leases.usable(shard)
            if owned is not None:
                owned.sweep()
        metrics.QUOTA_SHARDS.set(len(self._leases.shard_by_id))
        while len(self._hint_by_id) > MAX_HINTS:
            self._hint_by_id.pop(next(iter(self._hint_by_id)))
        for shard in list(self._relayed):
            self._spawn(self._relay_reports(shard))

    def _grant(
        self,
        message: QuotaAsk,
        wanted: Wanted,
        lines: list[GrantLine],
        short: list[tuple[Wanted, Allowance]],
    ) -> None:
        allowance = self._allowance_of(wanted.key)
        owned = self._leases.usable(message.shard)
        if allowance is None or owned is None:
            return
        granted = owned.grant(wanted, allowance, message.permit_ms / 1000)
        shard = message.shard
        lines.append(_grant_line(wanted, shard, granted))
        rest = _rest(wanted, granted.tokens, granted.permits)
        if rest.need or rest.permit_need:
            short.append((rest, allowance))

    async def _borrow(
        self, message: QuotaAsk, wanted: Wanted, allowance: Allowance
    ) -> list[GrantLine]:
        """Ask other shards for the rest of a line, the most promising first."""
        give_up = self._clock.now() + FORWARD_LIMIT
        tried = {message.shard}
        lines: list[GrantLine] = []
        for _ in range(FORWARD_ROUNDS):
            shard = self._most_promising(wanted, allowance, tried)
            if shard is None or self._clock.now() >= give_up:
                break
            # A second ask under the same serial would return the same grant.
            tried.add(shard)
            line = await self._forward(shard, wanted, message.permit_ms)
            self._note(wanted, shard, line)
            if line is None:
                continue
            lines.append(line)
            wanted = _rest(wanted, line.tokens, line.permits)
            if not (wanted.need or wanted.permit_need):
                break
        return lines

    def _most_promising(
        self, wanted: Wanted, allowance: Allowance, tried: set[ShardId]
    ) -> ShardId | None:
        now = self._clock.now()
        shares = shares_of(wanted.key, allowance, len(self._shards))
        best: tuple[float, float, float] | None = None
        chosen: ShardId | None = None
        for shard, share in zip(self._shards, shares, strict=True):
            if shard in tried or self._unreachable_until.get(shard, 0.0) > now:
                continue
            gain = self._expected_gain(wanted, shard, share, now)
            if gain < 1:
                continue
            order = (-self._distance(shard.data_centre), gain, self._rng.random())
            if best is None or order > best:
                best, chosen = order, shard
        return chosen

    def _expected_gain(
        self, wanted: Wanted, shard: ShardId, share: Share, now: float
    ) -> float:
        hint = self._hint_by_id.get((wanted.key, shard))
        tokens, permits = share.burst, float(share.in_flight)
        if hint is not None:
            if hint.paused_until > now:
                return 0.0
            tokens = min(tokens, hint.tokens + share.rate * (now - hint.at))
            # Permits come back at a pace unknown here; the pause limits the tries.
            permits = min(permits, max(1.0, float(hint.permits)))
        gain = min(tokens, wanted.need) if wanted.need else 0.0
        if wanted.permit_need:
            gain = max(gain, min(permits, wanted.permit_need))
        return gain

    def _note(self, wanted: Wanted, shard: ShardId, line: GrantLine | None) -> None:
        if line is None:
            return
        now = self._clock.now()
        hint = self._hint_by_id.setdefault((wanted.key, shard), _Hint(0, 0, now))
        hint.tokens, hint.permits, hint.at = line.left, line.permits_left, now
        if line.tokens or line.permits:
            hint.pause = hint.paused_until = 0.0
            return
        hint.pause = min(LONGEST_PAUSE, max(FIRST_PAUSE, 2 * hint.pause))
        hint.paused_until = now + hint.pause * self._rng.uniform(0.5, 1.0)

    async def _forward(
        self, shard: ShardId, wanted: Wanted, permit_ms: int
    ) -> GrantLine | None:
        loop = asyncio.get_running_loop()
        answer: asyncio.Future[GrantLine | None] = loop.create_future()
        batch = self._outbox.setdefault((shard, permit_ms), [])
        batch.append((wanted, answer))
        if len(batch) == 1:
            loop.call_later(FORWARD_DELAY, self._flush, shard, permit_ms)
        return await answer

    def _flush(self, shard: ShardId, permit_ms: int) -> None:
        self._spawn(self._send_batch(shard, permit_ms))

    async def _send_batch(self, shard: ShardId, permit_ms: int) -> None:
        batch = self._outbox.pop((shard, permit_ms), [])
        reports = self._relayed.pop(shard, {})
        message = QuotaAsk(
            asker=self._me,
            shard=shard,
            forwarded=True,
            permit_ms=permit_ms,
            wanted=tuple(wanted for wanted, _ in batch),
            reports=tuple(reports.values()),
        )
        answer = await self._exchange(shard, message)
        line_by_id = {}
        if isinstance(answer, QuotaGrant) and answer.owned:
            line_by_id = {(line.asker, line.serial): line for line in answer.lines}
        for wanted, future in batch:
            grant_id = (wanted.asker, wanted.serial)
            if answer is None:
                # The owner may have granted; nobody will use it.
                self._queue_report(Report(*grant_id, shard, 0, ALL, ALL))
            if not future.done():
                future.set_result(line_by_id.get(grant_id))

    async def _exchange(
        self, shard: ShardId, message: QuotaAsk | QuotaReturn
    ) -> QuotaMessage | None:
        owner = self._leases.directory.owner_of(shard)
        if owner is None:
            self._mark_unreachable(shard)
            self._leases.request_scan()
            return QuotaGrant(owned=False)
        if owner == self._me:
            return await self.handle(message)
        answer = await self._ask(owner, message)
        if not isinstance(answer, QuotaGrant):
            metrics.QUOTA_ASKS.labels("owner", "failed").inc()
            self._mark_unreachable(shard)
            return None
        outcome = "answered" if answer.owned else "not_owner"
        metrics.QUOTA_ASKS.labels("owner", outcome).inc()
        if not answer.owned:
            self._leases.directory.learn(answer.owners)
            if self._leases.directory.owner_of(shard) == owner:
                self._mark_unreachable(shard)
                self._leases.request_scan()
        return answer

    def _mark_unreachable(self, shard: ShardId) -> None:
        pause = UNREACHABLE_PAUSE * self._rng.uniform(0.5, 1.0)
        self._unreachable_until[shard] = self._clock.now() + pause

    def _take_report(self, asker: str, report: Report, *, relay: bool) -> None:
        if not report.asker:
            report = report._replace(asker=asker)
        owned = self._leases.usable(report.shard)
        if owned is not None:
            owned.settle(report)
        elif relay:
            self._queue_report(report)

    def _queue_report(self, report: Report) -> None:
        queued = self._relayed.setdefault(report.shard, {})
        # Counts are cumulative: the latest report replaces those before it.
        queued[report.asker, report.serial] = report

    async def _relay_reports(self, shard: ShardId) -> None:
        reports = self._relayed.pop(shard, {})
        if reports:
            message = QuotaReturn(asker=self._me, reports=tuple(reports.values()))
            await self._exchange(shard, message)

    def _spawn(self, work: Awaitable[None]) -> None:
        task: asyncio.Task[None] = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _rest(wanted: Wanted, tokens: int, permits: int) -> Wanted:
    """Return what remains of a line after a grant."""
    need = max(0, wanted.need - tokens)
    extra = max(0, wanted.extra - max(0, tokens - wanted.need))
    permit_need = max(0, wanted.permit_need - permits)
    permit_extra = max(0, wanted.permit_extra - max(0, permits - wanted.permit_need))
    return wanted._replace(
        need=need, extra=extra, permit_need=permit_need, permit_extra=permit_extra
    )


def _grant_line(wanted: Wanted, shard: ShardId, granted: Granted) -> GrantLine:
    return GrantLine(
        asker=wanted.asker,
        serial=wanted.serial,
        shard=shard,
        tokens=granted.tokens,
        permits=granted.permits,
        left=granted.left,
        permits_left=granted.permits_left,
    )
