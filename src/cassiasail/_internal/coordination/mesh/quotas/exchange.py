"""Admits requests within the quotas of their accounts, over all daemons together.

The entry daemon takes one token for each request. It holds a few of the accounts that
its clients use, and asks the owner of the account for more: one call at a time to each
owner, with all accounts and requests that wait by then. Without a token at the owner
the request is refused at once. Without an answer of the owner a daemon admits at its
equal share of the quota.
"""

import asyncio
from collections import defaultdict, deque
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass
from random import Random

from .... import metrics
from ....ids import AccountName
from ....protocol import token_calls
from ....protocol.exchanges import ExchangeFailed, Exchanger
from ....protocol.http1 import HttpRequest, HttpResponse
from ....state.client_accounts import AccountQuota, ClientAccount, ClientAccounts
from ....state.hosts import HostId
from ....state.quota_tokens import TokenAsk, TokenGrant
from ..balancing import HostView
from .buckets import QuotaBuckets
from .owners import Owners, choose_owners
from .stocks import TokenStock

# Interval at which owners are chosen anew and unused tokens are given back.
TICK_SECONDS = 0.25
# Longest wait for the owner: a round trip to another region takes 24 ms and a busy
# daemon some tens more.
ASK_TIMEOUT_SECONDS = 0.25
# An owner that gave no answer is not asked again for this long.
SILENT_OWNER_SECONDS = 0.5
# Bounds of the Retry-After of a request over the quota. Below the lower one clients
# come back while the account still uses all its tokens.
MIN_RETRY_AFTER_SECONDS = 0.25
MAX_RETRY_AFTER_SECONDS = 2.0


@dataclass(slots=True)
class _PendingAsks:
    """Requests that wait for one owner, and whether a call to it is under way."""

    waiting_by_account: defaultdict[AccountName, "deque[asyncio.Future[bool | None]]"]
    is_running: bool = False
    silent_until: float = 0.0


class AccountQuotas:
    """Tokens of this daemon's clients, and the quotas that it keeps for the fleet.

    ``views`` returns the known VMs, this one included, and ``accounts`` the client
    accounts of the configuration in force.
    """

    def __init__(
        self,
        *,
        own_host: HostId,
        views: Callable[[], Mapping[HostId, HostView]],
        accounts: Callable[[], ClientAccounts | None],
        pool: Exchanger,
        first_start: bool,
        random: Random,
    ) -> None:
        self._own_host = own_host
        self._views = views
        self._accounts = accounts
        self._pool = pool
        self._random = random
        self._loop = asyncio.get_running_loop()
        self._buckets = QuotaBuckets(first_start=first_start)
        self._owners = Owners(hosts=(), reachable_share=1.0)
        self._stock_by_account: dict[AccountName, TokenStock] = {}
        self._pending_by_owner: dict[HostId, _PendingAsks] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Choose owners and give unused tokens back, until cancelled."""
        while True:
            if self._accounts() is not None:
                self.tick()
            await asyncio.sleep(TICK_SECONDS)

    def tick(self) -> None:
        """Choose the owners anew, and send what is due."""
        now = self._loop.time()
        self._choose_owners(now)
        for account, stock in tuple(self._stock_by_account.items()):
            stock.expire(now)
            if stock.is_idle(now):
                del self._stock_by_account[account]
            elif stock.given_back:
                self._start_asks(account)

    def _choose_owners(self, now: float) -> None:
        owners = choose_owners(self._views().values())
        if owners.hosts != self._owners.hosts:
            self._owners = owners
        self._buckets.rate_share = owners.reachable_share
        self._buckets.keep(
            (
                name
                for name in self._limited()
                if self._owners.of(name) == self._own_host
            ),
            now,
        )

    def _limited(self) -> Iterable[AccountName]:
        accounts = self._accounts()
        if accounts is None:
            return ()
        return (
            name
            for name, account in accounts.account_by_name.items()
            if account.quota is not None
        )

    async def acquire(self, account: ClientAccount) -> float | None:
        """Take a token for a request of ``account``.

        Returns None if the request is admitted, otherwise the seconds after which the
        client should send it again.
        """
        quota = account.quota
        if quota is None:
            return None
        now = self._loop.time()
        stock = self._stock_of(account.name)
        stock.record_request(now)
        if stock.take(now):
            return self._admitted("held")
        if now < stock.denied_until:
            return self._refused(stock)
        if not self._owners.hosts:
            self._choose_owners(now)
        owner = self._owners.of(account.name)
        pending = self._pending_of(owner) if owner is not None else None
        if pending is None or now < pending.silent_until:
            return self._without_owner(stock, quota)
        answer = self._loop.create_future()
        pending.waiting_by_account[account.name].append(answer)
        self._start_asks(account.name)
        try:
            granted = await answer
        except asyncio.CancelledError:
            if answer.done() and not answer.cancelled() and answer.result():
                stock.put_back(self._loop.time())
            raise
        if granted is None:
            return self._without_owner(stock, quota)
        return self._admitted("granted") if granted else self._refused(stock)

    def give_back(self, account: AccountName) -> None:
        """Give the token of a request back that no target has run."""
        self._stock_of(account).put_back(self._loop.time())

    def serve(self, request: HttpRequest) -> HttpResponse:
        """Return the response to another daemon that asks for tokens."""
        asks = token_calls.decode_asks(request)
        if asks is None:
            metrics.MESH_ENTRIES_REFUSED.labels("token_call").inc()
            return HttpResponse(status=400)
        return token_calls.encode_grants(list(self._grants(asks)))

    def _grants(self, asks: Iterable[TokenAsk]) -> Iterator[TokenGrant]:
        """Yield a grant for each ask, as the owner of its account.

        There is none for an account that this daemon's configuration does not have,
        because it is older than that of the daemon that asks or not loaded yet.
        """
        now = self._loop.time()
        if not self._owners.hosts:
            self._choose_owners(now)
        accounts = self._accounts()
        account_by_name = {} if accounts is None else accounts.account_by_name
        for ask in asks:
            account = account_by_name.get(ask.account)
            if account is None:
                continue
            if account.quota is None:
                yield TokenGrant(account=ask.account, tokens=ask.needed, next_in=0.0)
            else:
                yield self._buckets.grant(ask, account.quota, now)

    def _stock_of(self, account: AccountName) -> TokenStock:
        stock = self._stock_by_account.get(account)
        if stock is None:
            stock = self._stock_by_account[account] = TokenStock()
        return stock

    def _pending_of(self, owner: HostId) -> _PendingAsks:
        pending = self._pending_by_owner.get(owner)
        if pending is None:
            pending = _PendingAsks(waiting_by_account=defaultdict(deque))
            self._pending_by_owner[owner] = pending
        return pending

    @staticmethod
    def _admitted(how: str) -> None:
        metrics.MESH_QUOTA_DECISIONS.labels(how).inc()

    def _refused(self, stock: TokenStock) -> float:
        """Return when a client should come back, spread over time."""
        metrics.MESH_QUOTA_DECISIONS.labels("refused").inc()
        seconds = max(MIN_RETRY_AFTER_SECONDS, stock.next_in)
        return min(MAX_RETRY_AFTER_SECONDS, seconds * self._random.uniform(1.0, 3.0))

    def _without_owner(self, stock: TokenStock, quota: AccountQuota) -> float | None:
        """Admit a request at this daemon's equal share of the quota."""
        rate = quota.rate / max(1, len(self._views()))
        # What waited for an answer in vain comes at once.
        burst = max(1.0, rate * ASK_TIMEOUT_SECONDS)
        if stock.take_reserve(AccountQuota(rate=rate, burst=burst), self._loop.time()):
            return self._admitted("without_owner")
        stock.next_in = 1 / rate
        return self._refused(stock)

    def _start_asks(self, account: AccountName) -> None:
        """Ask the owner of ``account`` soon, with all others that wait for it."""
        owner = self._owners.of(account)
        if owner is None:
            return
        pending = self._pending_of(owner)
        if pending.is_running:
            return
        pending.is_running = True
        task = self._loop.create_task(self._ask_until_served(owner, pending))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _ask_until_served(self, owner: HostId, pending: _PendingAsks) -> None:
        """Call the owner until no request waits for it."""
        try:
            while True:
                waiting, pending.waiting_by_account = (
                    pending.waiting_by_account,
                    defaultdict(deque),
                )
                asks = self._collect_asks(owner, waiting)
                if not asks:
                    return
                grants = await self._call(owner, asks)
                now = self._loop.time()
                if grants is None:
                    pending.silent_until = now + SILENT_OWNER_SECONDS
                asked = {ask.account for ask in asks}
                self._apply_grants(
                    waiting,
                    (each for each in grants or () if each.account in asked),
                    now,
                )
                if not pending.waiting_by_account:
                    return
        finally:
            pending.is_running = False

    def _collect_asks(
        self,
        owner: HostId,
        waiting: Mapping[AccountName, "deque[asyncio.Future[bool | None]]"],
    ) -> list[TokenAsk]:
        """Return what to ask ``owner`` for, and report the tokens not used."""
        now = self._loop.time()
        asks: list[TokenAsk] = []
        for account, stock in self._stock_by_account.items():
            needed = len(waiting.get(account, ()))
            if not needed and (
                not stock.given_back or self._owners.of(account) != owner
            ):
                continue
            if len(asks) >= token_calls.MAX_LINES:
                break
            asks.append(
                TokenAsk(
                    account=account,
                    needed=needed,
                    ahead=stock.ahead(now) if needed else 0,
                    given_back=min(stock.given_back, token_calls.MAX_TOKENS),
                )
            )
            # A report that is lost is not repeated: it would count twice if only the
            # response was lost.
            stock.given_back = 0
        return asks

    async def _call(
        self, owner: HostId, asks: Sequence[TokenAsk]
    ) -> list[TokenGrant] | None:
        """Return the grants of ``owner``, None if it gave no valid answer."""
        if owner == self._own_host:
            return list(self._grants(asks))
        view = self._views().get(owner)
        if view is None:
            return None
        metrics.MESH_TOKEN_CALLS.inc()
        result = await self._pool.exchange(
            view.address, token_calls.encode_asks(asks), timeout=ASK_TIMEOUT_SECONDS
        )
        if isinstance(result, ExchangeFailed):
            return None
        return token_calls.decode_grants(result)

    def _apply_grants(
        self,
        waiting: Mapping[AccountName, "deque[asyncio.Future[bool | None]]"],
        grants: Iterable[TokenGrant],
        now: float,
    ) -> None:
        """Answer the requests that waited, and keep the tokens that are left.

        Requests without a grant for their account are answered with None.
        """
        for grant in grants:
            stock, tokens = self._stock_of(grant.account), grant.tokens
            answers = waiting.get(grant.account, deque())
            while answers:
                answer = answers.popleft()
                if answer.done():
                    continue
                answer.set_result(tokens > 0)
                if not tokens:
                    stock.deny(grant.next_in, now)
                tokens = max(0, tokens - 1)
            if tokens:
                stock.add(tokens, now)
        for answers in waiting.values():
            for answer in answers:
                if not answer.done():
                    answer.set_result(None)
