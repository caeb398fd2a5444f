"""Obtains tokens and permits for the calls that arrive at this daemon.

``try_acquire`` spends a cached token without waiting and is run for every call. If the
cache has none, ``acquire`` sends a token request to the owner of a quota shard, one of
the local data centre if possible. Calls that wait for the same allowance are served in
order of arrival.
"""

import asyncio
import random
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass

from .. import metrics
from ..clock import Clock
from ..ids import CustomerId, DaemonId, DataCentre, RoutePath, ServiceName
from ..protocol.quotas import GrantLine, TokenRequest, UsageReportBatch
from ..state.lists import Allowance
from ..state.quotas import QuotaKey, ShardId, TokenRequestLine, UsageReport
from ..state.refusals import Executed, Refusal, RefusalReason
from ..state.token_cache import CachedAllowance, CallGrant, TokenCache
from .owner_link import OwnerLink
from .quota_service import RETURN_ALL

# A call waits at most this long for a token and a permit.
ACQUIRE_TIMEOUT_SECONDS = 0.2
# Calls that may wait for one allowance on one daemon. Even the largest burst in use
# could not serve more in time, and they would cost memory.
MAX_WAITERS_PER_ALLOWANCE = 1000
# Delay before the next token request after one that did not serve all waiting calls;
# doubled each time up to the maximum.
FIRST_BACKOFF_SECONDS = 0.01
MAX_BACKOFF_SECONDS = 0.08
# Usage reports wait at most this long for a token request that carries them. For
# ``SCARCITY_SECONDS`` after an owner had no tokens or no permits left, they are sent at
# every tick, because owners need them to grant again.
REPORT_INTERVAL_SECONDS = 0.3
SCARCITY_SECONDS = 1.0


@dataclass(slots=True, eq=False)
class _Waiter:
    """A call that waits for a grant."""

    future: asyncio.Future[CallGrant]
    deadline: float


class QuotaClient:
    """Requests, caches and spends tokens and permits on one daemon.

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
        # Serials restart at 1 with the process, so the name includes the incarnation.
        self._requester = f"{me}/{incarnation}"
        self._data_centre = data_centre
        self._link = link
        self._max_deadline = max_deadline
        self._clock = clock
        self._rng = rng
        self._cache = TokenCache(clock=clock, permit_validity=max_deadline)
        self._waiters_by_key: dict[QuotaKey, deque[_Waiter]] = {}
        self._keys_to_request: set[QuotaKey] = set()
        # Keys with a token request in progress or a retry scheduled.
        self._keys_in_progress: set[QuotaKey] = set()
        self._backoff_by_key: dict[QuotaKey, float] = {}
        self._send_scheduled = False
        self._last_serial = 0
        # Until this time, usage reports are sent at every tick.
        self._scarce_until = 0.0
        self._last_report_at = clock.now()
        self._tasks: set[asyncio.Task[None]] = set()

    def try_acquire(
        self,
        customer: CustomerId,
        service: ServiceName,
        path: RoutePath,
        allowance: Allowance,
        deadline: float,
    ) -> CallGrant | None:
        """Spend a cached token and occupy a permit; None if either is missing.

        Also returns None while other calls wait for the allowance. ``deadline`` is a
        time of the clock, not a duration.
        """
        key = (customer, service, path)
        entry = self._cache.entry_by_key.get(key)
        if entry is None:
            return None
        entry.allowance = allowance
        # Calls that already wait are served first.
        if key in self._waiters_by_key:
            return None
        return entry.try_take(self._clock.now(), deadline)

    async def acquire(
        self,
        customer: CustomerId,
        service: ServiceName,
        path: RoutePath,
        allowance: Allowance,
        deadline: float,
    ) -> CallGrant | Refusal:
        """Obtain a token and a permit for one call, requesting them if necessary.

        Refuses the call after 200 ms or at ``deadline``, whichever comes first.
        """
        grant = self.try_acquire(customer, service, path, allowance, deadline)
        if grant is not None:
            return grant
        key = (customer, service, path)
        if allowance.burst < 1 or allowance.in_flight < 1:
            return _over_allowance_refusal(
                allowance, "the allowance has a burst or in_flight limit of 0"
            )
        waiters = self._waiters_by_key.setdefault(key, deque())
        if len(waiters) >= MAX_WAITERS_PER_ALLOWANCE:
            return _over_allowance_refusal(
                allowance, "too many calls already wait for this allowance"
            )
        entry = self._cache.get_or_add(key, allowance)
        entry.allowance = allowance
        entry.waiting_calls = len(waiters) + 1
        waiter = _Waiter(asyncio.get_running_loop().create_future(), deadline)
        waiters.append(waiter)
        self._schedule_request(key)
        return await self._wait_for_grant(key, waiter, allowance)

    def release_permit(self, grant: CallGrant) -> None:
        """Free the permit of a call that ended; a second call does nothing."""
        self._cache.release_permit(grant)
        if grant.entry.key in self._waiters_by_key:
            self._serve_waiters(grant.entry)

    def tick(self) -> None:
        """Prefetch tokens and send usage reports; is run about every 100 ms."""
        self._cache.sweep()
        for key, entry in self._cache.entry_by_key.items():
            if key in self._waiters_by_key or any(self._cache.prefetch_amounts(entry)):
                self._schedule_request(key)
        # Token requests carry reports; only the rest needs messages of its own.
        self._send_due_requests()
        now = self._clock.now()
        if (
            now < self._scarce_until
            or now - self._last_report_at >= REPORT_INTERVAL_SECONDS
        ):
            self._last_report_at = now
            for shard in self._cache.shards_with_reports():
                self._start_reports(shard)

    async def _wait_for_grant(
        self, key: QuotaKey, waiter: _Waiter, allowance: Allowance
    ) -> CallGrant | Refusal:
        """Wait for the grant of a waiter; refuses and removes it after a timeout."""
        timeout = min(ACQUIRE_TIMEOUT_SECONDS, waiter.deadline - self._clock.now())
        try:
            await asyncio.wait((waiter.future,), timeout=max(0.0, timeout))
        except asyncio.CancelledError:
            if waiter.future.done():
                self.release_permit(waiter.future.result())
            raise
        finally:
            if not waiter.future.done():
                self._remove_waiter(key, waiter)
        if waiter.future.cancelled():
            return _over_allowance_refusal(
                allowance, "no token became available in time"
            )
        return waiter.future.result()

    def _remove_waiter(self, key: QuotaKey, waiter: _Waiter) -> None:
        """Cancel a waiter that was not served and remove it from the queue."""
        waiter.future.cancel()
        waiters = self._waiters_by_key.get(key)
        if waiters is None:
            return
        waiters.remove(waiter)
        self._cache.entry_by_key[key].waiting_calls = len(waiters)
        if not waiters:
            del self._waiters_by_key[key]

    def _serve_waiters(self, entry: CachedAllowance) -> None:
        """Serve waiting calls from the cache in order of arrival, while it lasts."""
        waiters = self._waiters_by_key.get(entry.key)
        now = self._clock.now()
        while waiters:
            grant = entry.try_take(now, waiters[0].deadline)
            if grant is None:
                return
            waiters.popleft().future.set_result(grant)
            entry.waiting_calls = len(waiters)
        if waiters is not None:
            del self._waiters_by_key[entry.key]

    def _schedule_request(self, key: QuotaKey) -> None:
        """Include a key in the next token requests unless one is in progress."""
        if key in self._keys_in_progress:
            return
        self._keys_to_request.add(key)
        if not self._send_scheduled:
            self._send_scheduled = True
            # Calls that arrive in the same iteration of the event loop share a request.
            asyncio.get_running_loop().call_soon(self._send_due_requests)

    def _send_due_requests(self) -> None:
        """Send one token request per shard for all scheduled keys."""
        self._send_scheduled = False
        keys, self._keys_to_request = self._keys_to_request, set()
        entries_by_shard: dict[ShardId, list[CachedAllowance]] = {}
        for key in keys:
            entry = self._cache.entry_by_key.get(key)
            if entry is None or key in self._keys_in_progress:
                continue
            self._keys_in_progress.add(key)
            shard = self._link.select_shard(key, entry.allowance)
            entries_by_shard.setdefault(shard, []).append(entry)
        for shard, entries in entries_by_shard.items():
            self._start_request(shard, entries)

    def _start_request(self, shard: ShardId, entries: list[CachedAllowance]) -> None:
        self._track_task(
            asyncio.ensure_future(self._request_from_shard(shard, entries))
        )

    def _start_reports(self, shard: ShardId) -> None:
        reports = self._cache.pop_reports(lambda reported: reported == shard)
        if reports:
            coroutine = self._send_reports(shard, reports)
            self._track_task(asyncio.ensure_future(coroutine))

    def _track_task(self, task: asyncio.Task[None]) -> None:
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _request_from_shard(
        self, shard: ShardId, entries: list[CachedAllowance]
    ) -> None:
        """Send a token request, add its grants to the cache and serve waiting calls."""
        entry_by_serial = {self._next_serial(): entry for entry in entries}
        reports = self._pop_reports_via(shard)
        sent_at = self._clock.now()
        message = TokenRequest(
            requester=self._requester,
            shard=shard,
            forwarded=False,
            permit_ms=int(self._max_deadline * 1000),
            directory_digest=self._link.directory_digest(),
            lines=tuple(
                self._make_line(serial, entry)
                for serial, entry in entry_by_serial.items()
            ),
            reports=reports,
        )
        try:
            response = await self._link.send(shard, message)
        finally:
            self._keys_in_progress.difference_update(entry.key for entry in entries)
        if response is None:
            self._cache.requeue_reports(reports)
            for serial in entry_by_serial:
                self._cache.return_unreceived(serial, shard, RETURN_ALL)
        else:
            self._add_grants(response.lines, entry_by_serial, sent_at)
        for requested in entries:
            self._serve_waiters(
                self._cache.get_or_add(requested.key, requested.allowance)
            )
            self._schedule_retry(requested.key)

    def _add_grants(
        self,
        lines: Sequence[GrantLine],
        entry_by_serial: dict[int, CachedAllowance],
        sent_at: float,
    ) -> None:
        """Add the grants of a response to the cache; drops lines not requested here."""
        for line in lines:
            requested = entry_by_serial.get(line.serial)
            if requested is None or line.requester != self._requester:
                metrics.MESSAGES_REFUSED.labels("quota_line").inc()
                continue
            # The entry may have been removed as idle while the request was in progress.
            entry = self._cache.get_or_add(requested.key, requested.allowance)
            entry.owner_out_of_permits = line.permits_left == 0
            if line.tokens_left == 0 or line.permits_left == 0:
                self._scarce_until = self._clock.now() + SCARCITY_SECONDS
            self._cache.add_grant(
                entry,
                serial=line.serial,
                shard=line.shard,
                tokens=line.tokens,
                permits=line.permits,
                sent_at=sent_at,
            )

    def _schedule_retry(self, key: QuotaKey) -> None:
        """Schedule another token request, with backoff, if calls still wait."""
        if key not in self._waiters_by_key:
            self._backoff_by_key.pop(key, None)
            return
        backoff = self._backoff_by_key.get(key, FIRST_BACKOFF_SECONDS)
        self._backoff_by_key[key] = min(MAX_BACKOFF_SECONDS, 2 * backoff)
        # The key stays marked as in progress, so that new calls wait for the retry.
        self._keys_in_progress.add(key)
        delay = backoff * self._rng.uniform(0.5, 1.0)
        asyncio.get_running_loop().call_later(delay, self._retry, key)

    def _retry(self, key: QuotaKey) -> None:
        """Send a token request for a key if calls still wait for it."""
        self._keys_in_progress.discard(key)
        if key in self._waiters_by_key:
            self._schedule_request(key)

    def _make_line(self, serial: int, entry: CachedAllowance) -> TokenRequestLine:
        """Return the line that covers the waiting calls and the prefetch."""
        now = self._clock.now()
        waiters = self._waiters_by_key.get(entry.key, ())
        waiting_calls = len(waiters)
        tokens_prefetch, permits_prefetch = self._cache.prefetch_amounts(entry)
        latest_deadline = max((waiter.deadline for waiter in waiters), default=now)
        return TokenRequestLine(
            requester="",
            serial=serial,
            key=entry.key,
            tokens_needed=max(0, waiting_calls - entry.count_usable_tokens(now)),
            tokens_prefetch=tokens_prefetch,
            permits_needed=max(
                0, waiting_calls - entry.count_usable_permits(latest_deadline)
            ),
            permits_prefetch=permits_prefetch,
        )

    def _pop_reports_via(self, shard: ShardId) -> tuple[UsageReport, ...]:
        """Remove and return the reports that a request to ``shard`` carries.

        These are the reports on this shard and those on shards of other data centres,
        which its owner forwards.
        """
        self._cache.collect_reports()
        local_data_centre = self._data_centre

        def is_carried(reported: ShardId) -> bool:
            return reported == shard or reported.data_centre != local_data_centre

        return tuple(self._cache.pop_reports(is_carried))

    async def _send_reports(self, shard: ShardId, reports: list[UsageReport]) -> None:
        receiving_shard = self._link.select_report_shard(shard)
        message = UsageReportBatch(requester=self._requester, reports=tuple(reports))
        if await self._link.send(receiving_shard, message) is None:
            self._cache.requeue_reports(reports)

    def _next_serial(self) -> int:
        self._last_serial += 1
        return self._last_serial


def _over_allowance_refusal(allowance: Allowance, detail: str) -> Refusal:
    retry_after = (
        max(ACQUIRE_TIMEOUT_SECONDS, 1.0 / allowance.rate) if allowance.rate else None
    )
    return Refusal(
        reason=RefusalReason.OVER_ALLOWANCE,
        executed=Executed.NO,
        detail=detail,
        retry_after=retry_after,
    )
