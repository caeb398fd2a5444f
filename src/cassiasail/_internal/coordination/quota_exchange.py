"""Obtains allowance for the calls that enter at this daemon.

``try_acquire`` spends a cached token without waiting and lies on every call.
``acquire`` asks the owner of a shard of the own data centre when the cache is
empty. Calls that wait for the same allowance are served in order of arrival.
"""

import asyncio
import random
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass

from .. import metrics
from ..clock import Clock
from ..ids import CustomerId, DaemonId, DataCentre, RoutePath, ServiceName
from ..protocol.quotas import GrantLine, QuotaAsk, QuotaReturn
from ..state.lists import Allowance
from ..state.quotas import QuotaKey, Report, ShardId, Wanted
from ..state.refusals import Executed, Refusal, RefusalReason
from ..state.token_cache import Grant, Holding, TokenCache
from .owner_link import OwnerLink
from .quota_service import ALL

# A call waits at most this long for a token, in seconds.
ACQUIRE_LIMIT = 0.2
# Calls that wait for one allowance on one daemon; more could not be served in time
# by any burst in use and only cost memory.
MAX_WAITERS = 1000
# Pause before the next ask after one that did not serve all waiting calls.
FIRST_BACKOFF = 0.01
LONGEST_BACKOFF = 0.08
# Reports wait for the next ask at most this long while owners have tokens left. Once
# an owner had none, they go at every tick, since tokens become grantable by them.
REPORT_DELAY = 0.3
SCARCE_FOR = 1.0


@dataclass(slots=True, eq=False)
class _Waiter:
    future: asyncio.Future[Grant]
    deadline: float


class QuotaExchange:
    """The asker side of one daemon.

    ``max_deadline`` is the validity of a permit in seconds; no call may have a
    longer deadline.
    """

    def __init__(
        self,
        *,
        me: DaemonId,
        incarnation: int,
        data_centre: DataCentre,
        link: OwnerLink,
        max_deadline: float,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        # Serials start anew after a restart, so the name of the asker must not.
        self._asker = f"{me}/{incarnation}"
        self._data_centre = data_centre
        self._link = link
        self._max_deadline = max_deadline
        self._clock = clock
        self._rng = rng
        self._cache = TokenCache(clock=clock, permit_validity=max_deadline)
        self._waiters_by_key: dict[QuotaKey, deque[_Waiter]] = {}
        self._due: set[QuotaKey] = set()
        # Keys with an ask under way or a retry planned.
        self._asking: set[QuotaKey] = set()
        self._backoff_by_key: dict[QuotaKey, float] = {}
        self._flush_planned = False
        self._serial = 0
        self._scarce_until = 0.0
        self._reported_at = clock.now()
        self._tasks: set[asyncio.Task[None]] = set()

    def try_acquire(
        self,
        customer: CustomerId,
        service: ServiceName,
        path: RoutePath,
        allowance: Allowance,
        deadline: float,
    ) -> Grant | None:
        """Spend a cached token, or return None; ``deadline`` is on the clock."""
        key = (customer, service, path)
        holding = self._cache.holding_by_key.get(key)
        if holding is None:
            return None
        holding.allowance = allowance
        # Calls that already wait come first.
        if key in self._waiters_by_key:
            return None
        return holding.take(self._clock.now(), deadline)

    async def acquire(
        self,
        customer: CustomerId,
        service: ServiceName,
        path: RoutePath,
        allowance: Allowance,
        deadline: float,
    ) -> Grant | Refusal:
        """Obtain a token and a permit for one call, within 200 ms or ``deadline``."""
        grant = self.try_acquire(customer, service, path, allowance, deadline)
        if grant is not None:
            return grant
        key = (customer, service, path)
        if allowance.burst < 1 or allowance.in_flight < 1:
            return _refusal(allowance, "the allowance permits no call")
        waiters = self._waiters_by_key.setdefault(key, deque())
        if len(waiters) >= MAX_WAITERS:
            return _refusal(allowance, "too many calls wait for this allowance")
        holding = self._cache.holding(key, allowance)
        holding.allowance = allowance
        holding.waiting = len(waiters) + 1
        waiter = _Waiter(asyncio.get_running_loop().create_future(), deadline)
        waiters.append(waiter)
        self._schedule(key)
        return await self._wait(key, waiter, allowance)

    def finished(self, grant: Grant) -> None:
        """Free the permit of a call that ended; repeats are ignored."""
        self._cache.finish(grant)
        if grant.holding.key in self._waiters_by_key:
            self._serve(grant.holding)

    def tick(self) -> None:
        """Prefetch for recent use and send reports; to be run about every 100 ms."""
        self._cache.sweep()
        for key, holding in self._cache.holding_by_key.items():
            if key in self._waiters_by_key or any(self._cache.wanted(holding)):
                self._schedule(key)
        # A planned ask carries the reports; only the rest needs a message.
        self._flush()
        now = self._clock.now()
        if now < self._scarce_until or now - self._reported_at >= REPORT_DELAY:
            self._reported_at = now
            for shard in self._cache.shards_with_reports():
                self._spawn_reports(shard)

    async def _wait(
        self, key: QuotaKey, waiter: _Waiter, allowance: Allowance
    ) -> Grant | Refusal:
        limit = min(ACQUIRE_LIMIT, waiter.deadline - self._clock.now())
        try:
            await asyncio.wait((waiter.future,), timeout=max(0.0, limit))
        except asyncio.CancelledError:
            if waiter.future.done():
                self.finished(waiter.future.result())
            raise
        finally:
            if not waiter.future.done():
                self._withdraw(key, waiter)
        if waiter.future.cancelled():
            return _refusal(allowance, "no token became available in time")
        return waiter.future.result()

    def _withdraw(self, key: QuotaKey, waiter: _Waiter) -> None:
        waiter.future.cancel()
        waiters = self._waiters_by_key.get(key)
        if waiters is None:
            return
        waiters.remove(waiter)
        self._cache.holding_by_key[key].waiting = len(waiters)
        if not waiters:
            del self._waiters_by_key[key]

    def _serve(self, holding: Holding) -> None:
        """Give what is held to the waiting calls, the oldest first."""
        waiters = self._waiters_by_key.get(holding.key)
        now = self._clock.now()
        while waiters:
            grant = holding.take(now, waiters[0].deadline)
            if grant is None:
                return
            waiters.popleft().future.set_result(grant)
            holding.waiting = len(waiters)
        if waiters is not None:
            del self._waiters_by_key[holding.key]

    def _schedule(self, key: QuotaKey) -> None:
        if key in self._asking:
            return
        self._due.add(key)
        if not self._flush_planned:
            self._flush_planned = True
            # Calls that arrive in the same turn of the loop share one ask.
            asyncio.get_running_loop().call_soon(self._flush)

    def _flush(self) -> None:
        self._flush_planned = False
        due, self._due = self._due, set()
        holdings_by_shard: dict[ShardId, list[Holding]] = {}
        for key in due:
            holding = self._cache.holding_by_key.get(key)
            if holding is None or key in self._asking:
                continue
            self._asking.add(key)
            shard = self._link.home_of(key, holding.allowance)
            holdings_by_shard.setdefault(shard, []).append(holding)
        for shard, holdings in holdings_by_shard.items():
            self._spawn_ask(shard, holdings)

    def _spawn_ask(self, shard: ShardId, holdings: list[Holding]) -> None:
        self._spawn(asyncio.ensure_future(self._ask_shard(shard, holdings)))

    def _spawn_reports(self, shard: ShardId) -> None:
        reports = self._cache.take_reports(lambda other: other == shard)
        if reports:
            work = self._send_reports(shard, reports)
            self._spawn(asyncio.ensure_future(work))

    def _spawn(self, task: asyncio.Task[None]) -> None:
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _ask_shard(self, shard: ShardId, holdings: list[Holding]) -> None:
        holding_by_serial = {self._next_serial(): holding for holding in holdings}
        reports = self._reports_via(shard)
        sent_at = self._clock.now()
        message = QuotaAsk(
            asker=self._asker,
            shard=shard,
            forwarded=False,
            permit_ms=int(self._max_deadline * 1000),
            known=self._link.known(),
            wanted=tuple(
                self._wanted(serial, holding)
                for serial, holding in holding_by_serial.items()
            ),
            reports=reports,
        )
        try:
            answer = await self._link.send(shard, message)
        finally:
            self._asking.difference_update(holding.key for holding in holdings)
        if answer is None:
            self._cache.keep_reports(reports)
            for serial in holding_by_serial:
                self._cache.release_unseen(serial, shard, ALL)
        else:
            self._receive(answer.lines, holding_by_serial, sent_at)
        for asked in holdings:
            self._serve(self._cache.holding(asked.key, asked.allowance))
            self._retry_later(asked.key)

    def _receive(
        self,
        lines: Sequence[GrantLine],
        holding_by_serial: dict[int, Holding],
        sent_at: float,
    ) -> None:
        for line in lines:
            asked = holding_by_serial.get(line.serial)
            if asked is None or line.asker != self._asker:
                metrics.MESSAGES_REFUSED.labels("quota_line").inc()
                continue
            # The holding may have been forgotten as idle while the ask was under way.
            holding = self._cache.holding(asked.key, asked.allowance)
            holding.permits_scarce = line.permits_left == 0
            if line.left == 0 or line.permits_left == 0:
                self._scarce_until = self._clock.now() + SCARCE_FOR
            self._cache.receive(
                holding,
                serial=line.serial,
                shard=line.shard,
                tokens=line.tokens,
                permits=line.permits,
                sent_at=sent_at,
            )

    def _retry_later(self, key: QuotaKey) -> None:
        if key not in self._waiters_by_key:
            self._backoff_by_key.pop(key, None)
            return
        pause = self._backoff_by_key.get(key, FIRST_BACKOFF)
        self._backoff_by_key[key] = min(LONGEST_BACKOFF, 2 * pause)
        # The key stays marked as asking, so that new calls wait for the retry.
        self._asking.add(key)
        delay = pause * self._rng.uniform(0.5, 1.0)
        asyncio.get_running_loop().call_later(delay, self._retry, key)

    def _retry(self, key: QuotaKey) -> None:
        self._asking.discard(key)
        if key in self._waiters_by_key:
            self._schedule(key)

    def _wanted(self, serial: int, holding: Holding) -> Wanted:
        now = self._clock.now()
        waiters = self._waiters_by_key.get(holding.key, ())
        waiting = len(waiters)
        extra, permit_extra = self._cache.wanted(holding)
        last = max((w.deadline for w in waiters), default=now)
        return Wanted(
            asker="",
            serial=serial,
            key=holding.key,
            need=max(0, waiting - holding.tokens_held(now)),
            extra=extra,
            permit_need=max(0, waiting - holding.permits_held(last)),
            permit_extra=permit_extra,
        )

    def _reports_via(self, shard: ShardId) -> tuple[Report, ...]:
        """Return reports to this shard, and those that its owner passes on."""
        self._cache.collect_reports()
        own = self._data_centre

        def goes_along(other: ShardId) -> bool:
            return other == shard or other.data_centre != own

        return tuple(self._cache.take_reports(goes_along))

    async def _send_reports(self, shard: ShardId, reports: list[Report]) -> None:
        via = self._link.route_of_report(shard)
        message = QuotaReturn(asker=self._asker, reports=tuple(reports))
        if await self._link.send(via, message) is None:
            self._cache.keep_reports(reports)

    def _next_serial(self) -> int:
        self._serial += 1
        return self._serial


def _refusal(allowance: Allowance, detail: str) -> Refusal:
    retry_after = max(ACQUIRE_LIMIT, 1.0 / allowance.rate) if allowance.rate else None
    return Refusal(
        reason=RefusalReason.OVER_ALLOWANCE,
        executed=Executed.NO,
        detail=detail,
        retry_after=retry_after,
    )
