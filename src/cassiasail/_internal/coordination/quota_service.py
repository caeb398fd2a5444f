"""Serves token requests as the owner of quota shards and borrows from other shards.

If an owner cannot cover a token request, it forwards the rest of each line to owners of
other shards that probably have tokens. It passes their grants on unchanged, so only the
shard that made a grant accounts for it. Forwarded lines of several requesters are sent
in one message.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable, Sequence

from .. import metrics
from ..clock import Clock
from ..ids import DaemonId, DataCentre
from ..protocol.quotas import (
    GrantLine,
    QuotaMessage,
    QuotaResponse,
    TokenRequest,
    UsageReportBatch,
)
from ..state.lists import Allowance
from ..state.quotas import (
    GrantedAmounts,
    QuotaKey,
    ShardId,
    TokenRequestLine,
    UsageReport,
)
from .borrowing import ShardEstimates, remaining_line
from .shard_leases import ShardLeases

# Time for which lines for the same shard are collected before they are forwarded.
FORWARD_DELAY_SECONDS = 0.004
# Rounds of forwarding for one line; each round uses other shards.
MAX_FORWARD_ROUNDS = 2
# No round starts later than this after the first; the requester waits 200 ms for the
# response.
FORWARD_TIMEOUT_SECONDS = 0.08
# Token and permit count in a report that returns a grant of unknown size: above any
# real grant, so that the owner takes back all of it.
RETURN_ALL = 1 << 40

SendToPeer = Callable[[DaemonId, QuotaMessage], Awaitable[QuotaMessage | None]]


class QuotaService:
    """Grants tokens and permits of the shards that this daemon owns.

    ``send_to_peer`` sends a message to another daemon and returns None on failure.
    ``allowance_of`` returns the allowance of a key, None if there is none.
    ``distance`` returns the distance to a data centre.
    """

    def __init__(
        self,
        *,
        me: DaemonId,
        shards: Sequence[ShardId],
        leases: ShardLeases,
        send_to_peer: SendToPeer,
        allowance_of: Callable[[QuotaKey], Allowance | None],
        distance: Callable[[DataCentre], float],
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._me = me
        self._leases = leases
        self._send_to_peer = send_to_peer
        self._allowance_of = allowance_of
        self._clock = clock
        self._estimates = ShardEstimates(
            shards=shards, distance=distance, clock=clock, rng=rng
        )
        self._pending_batches: dict[
            tuple[ShardId, int],
            list[tuple[TokenRequestLine, asyncio.Future[GrantLine | None]]],
        ] = {}
        self._reports_to_forward: dict[ShardId, dict[tuple[str, int], UsageReport]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def handle(self, message: TokenRequest | UsageReportBatch) -> QuotaResponse:
        """Return the response to a message of a peer or of the local QuotaClient.

        Applies or forwards the reports, then grants the lines of a token request. What
        the shard cannot cover is borrowed from other shards, except for a request that
        was already forwarded. If this daemon does not own the shard, the response only
        names the owners.
        """
        forwarded = isinstance(message, TokenRequest) and message.forwarded
        for report in message.reports:
            self._apply_report(message.requester, report, forward=not forwarded)
        if isinstance(message, UsageReportBatch):
            return QuotaResponse(is_owner=True)
        if self._leases.leased_shard(message.shard) is None:
            owners = self._leases.directory.rows()
            return QuotaResponse(is_owner=False, owners=owners)
        grant_lines: list[GrantLine] = []
        shortfalls: list[tuple[TokenRequestLine, Allowance]] = []
        for received in message.lines:
            line = (
                received
                if received.requester
                else received._replace(requester=message.requester)
            )
            self._grant_from_shard(message, line, grant_lines, shortfalls)
        if shortfalls and not forwarded:
            borrowing = (
                self._borrow(message, line, allowance) for line, allowance in shortfalls
            )
            for borrowed_lines in await asyncio.gather(*borrowing):
                grant_lines.extend(borrowed_lines)
        directory = self._leases.directory
        newer_owners = (
            directory.rows() if directory.digest > message.directory_digest else ()
        )
        return QuotaResponse(
            is_owner=True, lines=tuple(grant_lines), owners=newer_owners
        )

    def tick(self) -> None:
        """Forward reports, remove idle buckets and old estimates.

        Is run about every 100 ms.
        """
        for shard in list(self._leases.shard_by_id):
            owned_shard = self._leases.leased_shard(shard)
            if owned_shard is not None:
                owned_shard.sweep()
        metrics.QUOTA_SHARDS.set(len(self._leases.shard_by_id))
        self._estimates.trim_estimates()
        for shard in list(self._reports_to_forward):
            self._start_task(self._forward_reports(shard))

    def _grant_from_shard(
        self,
        message: TokenRequest,
        line: TokenRequestLine,
        grant_lines: list[GrantLine],
        shortfalls: list[tuple[TokenRequestLine, Allowance]],
    ) -> None:
        """Grant a line from the requested shard and record what it did not cover.

        Appends the grant to ``grant_lines`` and the rest of the line to ``shortfalls``.
        """
        allowance = self._allowance_of(line.key)
        owned_shard = self._leases.leased_shard(message.shard)
        if allowance is None or owned_shard is None:
            return
        granted = owned_shard.grant(line, allowance, message.permit_ms / 1000)
        shard = message.shard
        grant_lines.append(_make_grant_line(line, shard, granted))
        remaining = remaining_line(line, granted.tokens, granted.permits)
        if (
            remaining.tokens_needed
            or remaining.permits_needed
            or remaining.tokens_prefetch
        ):
            shortfalls.append((remaining, allowance))

    async def _borrow(
        self, message: TokenRequest, line: TokenRequestLine, allowance: Allowance
    ) -> list[GrantLine]:
        """Forward the rest of a line to other shards and return their grants."""
        deadline = self._clock.now() + FORWARD_TIMEOUT_SECONDS
        requested_shards = {message.shard}
        grant_lines: list[GrantLine] = []
        for _ in range(MAX_FORWARD_ROUNDS):
            parts = self._estimates.split_line(line, allowance, requested_shards)
            if not parts or self._clock.now() >= deadline:
                break
            # A shard repeats its grant for a serial that it received before.
            requested_shards.update(shard for shard, _ in parts)
            responses = await asyncio.gather(
                *(
                    self._forward_line(shard, part, message.permit_ms)
                    for shard, part in parts
                )
            )
            for (shard, part), grant_line in zip(parts, responses, strict=True):
                if grant_line is not None:
                    self._estimates.record_response(part, shard, grant_line)
                    grant_lines.append(grant_line)
                    line = remaining_line(line, grant_line.tokens, grant_line.permits)
            if not (line.tokens_needed or line.permits_needed or line.tokens_prefetch):
                break
        return grant_lines

    async def _forward_line(
        self, shard: ShardId, line: TokenRequestLine, permit_ms: int
    ) -> GrantLine | None:
        """Add a line to the next batch for a shard and wait for its grant."""
        loop = asyncio.get_running_loop()
        response: asyncio.Future[GrantLine | None] = loop.create_future()
        batch = self._pending_batches.setdefault((shard, permit_ms), [])
        batch.append((line, response))
        if len(batch) == 1:
            loop.call_later(FORWARD_DELAY_SECONDS, self._start_batch, shard, permit_ms)
        return await response

    def _start_batch(self, shard: ShardId, permit_ms: int) -> None:
        self._start_task(self._send_batch(shard, permit_ms))

    async def _send_batch(self, shard: ShardId, permit_ms: int) -> None:
        """Forward the collected lines and reports of a shard to its owner.

        Completes the future of each line with its grant, or with None.
        """
        batch = self._pending_batches.pop((shard, permit_ms), [])
        reports = self._reports_to_forward.pop(shard, {})
        message = TokenRequest(
            requester=self._me,
            shard=shard,
            forwarded=True,
            permit_ms=permit_ms,
            directory_digest=self._leases.directory.digest,
            lines=tuple(line for line, _ in batch),
            reports=tuple(reports.values()),
        )
        response = await self._send_to_owner(shard, message)
        grant_line_by_id = {}
        if isinstance(response, QuotaResponse) and response.is_owner:
            grant_line_by_id = {
                (grant_line.requester, grant_line.serial): grant_line
                for grant_line in response.lines
            }
        for line, future in batch:
            grant_id = (line.requester, line.serial)
            if response is None:
                # The owner may have made a grant that nobody received.
                self._queue_report(
                    UsageReport(*grant_id, shard, 0, RETURN_ALL, RETURN_ALL)
                )
            if not future.done():
                future.set_result(grant_line_by_id.get(grant_id))

    async def _send_to_owner(
        self, shard: ShardId, message: TokenRequest | UsageReportBatch
    ) -> QuotaMessage | None:
        """Send a message to the owner of a shard; None if no response arrived."""
        owner = self._leases.directory.owner_of(shard)
        if owner is None:
            self._estimates.mark_unreachable(shard)
            self._leases.request_scan()
            return QuotaResponse(is_owner=False)
        if owner == self._me:
            return await self.handle(message)
        response = await self._send_to_peer(owner, message)
        if not isinstance(response, QuotaResponse):
            metrics.QUOTA_ASKS.labels("owner", "failed").inc()
            self._estimates.mark_unreachable(shard)
            return None
        outcome = "answered" if response.is_owner else "not_owner"
        metrics.QUOTA_ASKS.labels("owner", outcome).inc()
        self._leases.directory.merge(response.owners)
        if not response.is_owner and self._leases.directory.owner_of(shard) == owner:
            self._estimates.mark_unreachable(shard)
            self._leases.request_scan()
        return response

    def _apply_report(
        self, requester: str, report: UsageReport, *, forward: bool
    ) -> None:
        """Apply a report on an owned shard; otherwise queue it if ``forward``."""
        if not report.requester:
            report = report._replace(requester=requester)
        owned_shard = self._leases.leased_shard(report.shard)
        if owned_shard is not None:
            owned_shard.apply_report(report)
        elif forward:
            self._queue_report(report)

    def _queue_report(self, report: UsageReport) -> None:
        """Queue a report for the next message to the owner of its shard."""
        queued = self._reports_to_forward.setdefault(report.shard, {})
        # Counts are cumulative, so a report replaces the earlier ones on its grant.
        queued[report.requester, report.serial] = report

    async def _forward_reports(self, shard: ShardId) -> None:
        reports = self._reports_to_forward.pop(shard, {})
        if reports:
            message = UsageReportBatch(
                requester=self._me, reports=tuple(reports.values())
            )
            await self._send_to_owner(shard, message)

    def _start_task(self, coroutine: Awaitable[None]) -> None:
        task: asyncio.Task[None] = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _make_grant_line(
    line: TokenRequestLine, shard: ShardId, granted: GrantedAmounts
) -> GrantLine:
    return GrantLine(
        requester=line.requester,
        serial=line.serial,
        shard=shard,
        tokens=granted.tokens,
        permits=granted.permits,
        tokens_left=granted.tokens_left,
        permits_left=granted.permits_left,
    )
