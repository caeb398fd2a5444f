"""Answers asks as the owner of quota shards and borrows from other owners.

An owner that cannot cover the waiting calls of an ask forwards the rest to owners
that probably have tokens. Grants pass through unchanged, each to one asker, so the
granting shard alone accounts for its tokens. Forwarded lines of many askers travel
in one message.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable, Sequence

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
    Wanted,
)
from .borrowing import ShardEstimates, rest_of
from .shard_leases import ShardLeases

# Lines for the same shard are collected for this long before they are forwarded.
FORWARD_DELAY = 0.004
# Rounds in which other shards are asked for one line.
FORWARD_ROUNDS = 2
# An ask is answered with what is there after this long; the asker waits 200 ms.
FORWARD_LIMIT = 0.08
# Grants that an unseen answer may have contained are returned in full.
ALL = 1 << 40

Ask = Callable[[DaemonId, QuotaMessage], Awaitable[QuotaMessage | None]]


class QuotaService:
    """The owner side of one daemon.

    ``ask`` sends a message to another daemon and returns None on failure.
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
        self._leases = leases
        self._ask = ask
        self._allowance_of = allowance_of
        self._clock = clock
        self._estimates = ShardEstimates(
            shards=shards, distance=distance, clock=clock, rng=rng
        )
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
        directory = self._leases.directory
        news = directory.rows() if directory.digest > message.known else ()
        return QuotaGrant(owned=True, lines=tuple(lines), owners=news)

    def tick(self) -> None:
        """Pass on reports, forget idle buckets and old hints; about every 100 ms."""
        for shard in list(self._leases.shard_by_id):
            owned = self._leases.usable(shard)
            if owned is not None:
                owned.sweep()
        metrics.QUOTA_SHARDS.set(len(self._leases.shard_by_id))
        self._estimates.forget_oldest()
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
        rest = rest_of(wanted, granted.tokens, granted.permits)
        if rest.need or rest.permit_need or rest.extra:
            short.append((rest, allowance))

    async def _borrow(
        self, message: QuotaAsk, wanted: Wanted, allowance: Allowance
    ) -> list[GrantLine]:
        """Ask other shards for the rest of a line, the most promising first."""
        give_up = self._clock.now() + FORWARD_LIMIT
        tried = {message.shard}
        lines: list[GrantLine] = []
        for _ in range(FORWARD_ROUNDS):
            parts = self._estimates.plan(wanted, allowance, tried)
            if not parts or self._clock.now() >= give_up:
                break
            # A second ask under the same serial would return the same grant.
            tried.update(shard for shard, _ in parts)
            answers = await asyncio.gather(
                *(
                    self._forward(shard, part, message.permit_ms)
                    for shard, part in parts
                )
            )
            for (shard, part), line in zip(parts, answers, strict=True):
                if line is not None:
                    self._estimates.note(part, shard, line)
                    lines.append(line)
                    wanted = rest_of(wanted, line.tokens, line.permits)
            if not (wanted.need or wanted.permit_need or wanted.extra):
                break
        return lines

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
            known=self._leases.directory.digest,
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
            self._estimates.mark_unreachable(shard)
            self._leases.request_scan()
            return QuotaGrant(owned=False)
        if owner == self._me:
            return await self.handle(message)
        answer = await self._ask(owner, message)
        if not isinstance(answer, QuotaGrant):
            metrics.QUOTA_ASKS.labels("owner", "failed").inc()
            self._estimates.mark_unreachable(shard)
            return None
        outcome = "answered" if answer.owned else "not_owner"
        metrics.QUOTA_ASKS.labels("owner", outcome).inc()
        self._leases.directory.learn(answer.owners)
        if not answer.owned and self._leases.directory.owner_of(shard) == owner:
            self._estimates.mark_unreachable(shard)
            self._leases.request_scan()
        return answer

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
