"""Daemons that share the quotas of accounts, on virtual time and without sockets.

Requests of each account arrive at random daemons. The model counts what is admitted, so
that a test or a bench can compare it with the quota.
"""

import asyncio
from collections import defaultdict
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from random import Random

from cassiasail._internal.coordination.mesh.balancing import Distance, HostView
from cassiasail._internal.coordination.mesh.quotas.exchange import AccountQuotas
from cassiasail._internal.ids import (
    AccountName,
    DataCentre,
    Region,
    ServiceName,
    TargetId,
)
from cassiasail._internal.protocol.exchanges import (
    Address,
    ExchangeFailed,
    FailureReason,
)
from cassiasail._internal.protocol.http1 import (
    HttpRequest,
    HttpResponse,
    encode_request,
    encode_response,
)
from cassiasail._internal.state.client_accounts import (
    AccountQuota,
    ClientAccount,
    ClientAccounts,
)
from cassiasail._internal.state.hosts import HostId, HostRecord, TargetState
from cassiasail._internal.state.table_mirror import StoreVersion

# Round trip between two daemons: half of them are in the other region.
ROUND_TRIP_SECONDS = (0.001, 0.024)
SILENCE = ExchangeFailed(reason=FailureReason.TIMED_OUT, sent=True)


@dataclass(frozen=True, slots=True, kw_only=True)
class Demand:
    """Requests a second of one account, at the daemons from ``first`` to ``last``."""

    account: AccountName
    rate: float
    first: int = 0
    last: int | None = None


class QuotaModel:
    """``count`` daemons in two regions; ``quota_by_account`` has their quotas.

    ``cut_off`` daemons neither send nor receive. ``admitted_at`` and
    ``asked_at`` have the loop times of the requests by account.
    """

    def __init__(
        self,
        *,
        count: int,
        quota_by_account: Mapping[AccountName, AccountQuota],
        seed: int,
        first_start: bool = True,
    ) -> None:
        self.random = Random(seed)
        self.accounts = ClientAccounts(
            account_by_name={
                name: ClientAccount(name=name, keys=(name,), quota=quota)
                for name, quota in quota_by_account.items()
            }
        )
        self.view_by_host = {view.record.host: view for view in _views(count)}
        self._first_start = first_start
        self.daemons = [self.create_daemon(host) for host in self.view_by_host]
        self.cut_off: set[HostId] = set()
        self.admitted_at: defaultdict[AccountName, list[float]] = defaultdict(list)
        self.asked_at: defaultdict[AccountName, list[float]] = defaultdict(list)
        self.calls = self.bytes = 0
        self._loop = asyncio.get_running_loop()
        self._tasks: set[asyncio.Task[None]] = set()

    def restart(self, position: int) -> None:
        """Start the daemon at ``position`` again, without its memory."""
        self._first_start = False
        self.daemons[position] = self.create_daemon(list(self.view_by_host)[position])

    async def run(self, seconds: float, demands: Iterable[Demand]) -> None:
        """Send the requests of ``demands`` for ``seconds``."""
        end = self._loop.time() + seconds
        senders = [self._send(demand, end) for demand in demands]
        await asyncio.gather(self._tick(end), *senders)
        if self._tasks:
            await asyncio.wait(self._tasks)

    def most_in_window(self, account: AccountName, seconds: float) -> int:
        """Return the most requests admitted in any window of ``seconds``."""
        times = self.admitted_at[account]
        most = start = 0
        for end, time in enumerate(times):
            while times[start] <= time - seconds:
                start += 1
            most = max(most, end - start + 1)
        return most

    def admitted_by_one_bucket(self, account: AccountName) -> int:
        """Return the requests that one bucket without delays would have admitted."""
        quota = self.accounts.account_by_name[account].quota
        assert quota is not None
        level, updated_at, admitted = quota.burst, 0.0, 0
        for time in self.asked_at[account]:
            level = min(quota.burst, level + (time - updated_at) * quota.rate)
            updated_at = time
            if level >= 1:
                level, admitted = level - 1, admitted + 1
        return admitted

    async def exchange(
        self, address: Address, request: HttpRequest, *, timeout: float, **_: object
    ) -> HttpResponse | ExchangeFailed:
        """Deliver a call between two daemons."""
        position = address.port - 1
        self.calls += 1
        if f"vm-{position}" in self.cut_off:
            await asyncio.sleep(timeout)
            return SILENCE
        await asyncio.sleep(self.random.choice(ROUND_TRIP_SECONDS))
        response = self.daemons[position].serve(request)
        sent = encode_request(request)
        answered = encode_response(
            response, method=request.method, close=False, idle_seconds=15
        )
        self.bytes += len(sent) + len(answered)
        return response

    def close_idle(self, address: Address) -> None:
        """Do nothing: the model has no connections."""

    def create_daemon(self, host: HostId) -> AccountQuotas:
        """Return a daemon of the VM ``host`` that has just started."""
        return AccountQuotas(
            own_host=host,
            views=lambda: self.view_by_host,
            accounts=lambda: self.accounts,
            pool=self,
            first_start=self._first_start,
            random=self.random,
        )

    async def _tick(self, end: float) -> None:
        while self._loop.time() < end:
            for daemon in self.daemons:
                daemon.tick()
            await asyncio.sleep(0.25)

    async def _send(self, demand: Demand, end: float) -> None:
        last = len(self.daemons) if demand.last is None else demand.last
        while True:
            await asyncio.sleep(self.random.expovariate(demand.rate))
            if self._loop.time() >= end:
                return
            position = self.random.randrange(demand.first, last)
            task = asyncio.create_task(self._request(demand.account, position))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _request(self, account: AccountName, position: int) -> None:
        self.asked_at[account].append(self._loop.time())
        daemon = self.daemons[position]
        if await daemon.acquire(self.accounts.account_by_name[account]) is None:
            self.admitted_at[account].append(self._loop.time())


def _views(count: int) -> Iterator[HostView]:
    for position in range(count):
        address = Address("10.0.0.1", position + 1)
        record = HostRecord(
            host=f"vm-{position}",
            address=address,
            data_centre=DataCentre("dc"),
            region=Region("region"),
            service=ServiceName("one"),
            target=TargetId(f"i-{position}"),
            start_time_ms=1,
            slots=9,
            state=TargetState.READY,
            link_mbps=100 if position % 8 == 0 else 7,
        )
        yield HostView(
            record=record,
            version=StoreVersion(era=1, number=1),
            address=address,
            distance=Distance.SAME_DATA_CENTRE,
        )
