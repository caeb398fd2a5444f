"""Token buckets of the accounts whose quotas this daemon keeps.

A token is spent in the bucket when it is granted, and given back if its request was not
run. Runs in any time window are therefore bounded by the rate over that window and the
burst, plus the tokens that other daemons hold for a moment.

A daemon that becomes the owner of an account does not know what the former one has
granted, so its bucket starts nearly empty. At the first start of the whole system
nothing was granted, and buckets start full.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from ....ids import AccountName
from ....state.client_accounts import AccountQuota
from ....state.quota_tokens import TokenAsk, TokenGrant

# Share of the burst in the bucket of a new owner. Together with what the former owner
# granted it stays within the overage of a tenth that the operator's bound allows.
NEW_OWNER_BURST_SHARE = 0.1
# Tokens are granted ahead of requests only while the bucket is fuller than this: the
# daemon that holds them may not need them, and another one may have to refuse
# meanwhile.
AHEAD_BURST_SHARE = 0.5
# A burst below this would refuse requests that merely arrive together.
MIN_BURST_SECONDS = 0.2
# Buckets that nobody has asked for this long are dropped, unless this daemon is the
# owner of the account.
FORGET_SECONDS = 10.0


@dataclass(slots=True)
class _Bucket:
    """Tokens of one account; times are loop times in seconds."""

    level: float
    updated_at: float
    asked_at: float


def burst_of(quota: AccountQuota) -> float:
    """Return the size of the bucket for ``quota``, in tokens."""
    return max(1.0, quota.burst, quota.rate * MIN_BURST_SECONDS)


class QuotaBuckets:
    """The buckets of this daemon by account.

    ``grant`` takes the quota in force, so a changed one applies at once. ``rate_share``
    scales all rates. It is below 1 while this daemon reaches only a part of the fleet,
    whose other part may have an owner of its own.
    """

    def __init__(self, *, first_start: bool) -> None:
        self._first_start = first_start
        self._kept_since_by_account: dict[AccountName, float | None] = {}
        self._bucket_by_account: dict[AccountName, _Bucket] = {}
        self.rate_share = 1.0

    def keep(self, accounts: Iterable[AccountName], now: float) -> None:
        """Become the owner of ``accounts`` and no longer that of all others."""
        accounts = frozenset(accounts)
        for account in tuple(self._kept_since_by_account):
            if account not in accounts:
                del self._kept_since_by_account[account]
                self._bucket_by_account.pop(account, None)
        # None stands for an account that had no owner before.
        since = None if self._first_start else now
        for account in accounts:
            self._kept_since_by_account.setdefault(account, since)
        self._first_start = False
        for account, bucket in tuple(self._bucket_by_account.items()):
            is_kept = account in self._kept_since_by_account
            if not is_kept and now - bucket.asked_at > FORGET_SECONDS:
                del self._bucket_by_account[account]

    def grant(self, ask: TokenAsk, quota: AccountQuota, now: float) -> TokenGrant:
        """Return the tokens granted for ``ask`` and when the next one is due."""
        bucket = self._filled_bucket(ask.account, quota, now)
        bucket.asked_at = now
        burst = burst_of(quota)
        bucket.level = min(burst, bucket.level + ask.given_back)
        tokens = min(int(bucket.level), ask.needed)
        ahead = int(bucket.level - tokens - AHEAD_BURST_SHARE * burst)
        tokens += max(0, min(ahead, ask.ahead))
        bucket.level -= tokens
        missing = max(0.0, 1.0 - bucket.level)
        return TokenGrant(
            account=ask.account,
            tokens=tokens,
            next_in=missing / (quota.rate * self.rate_share),
        )

    def _filled_bucket(
        self, account: AccountName, quota: AccountQuota, now: float
    ) -> _Bucket:
        """Return the bucket with the tokens that its rate added until ``now``."""
        burst = burst_of(quota)
        rate = quota.rate * self.rate_share
        bucket = self._bucket_by_account.get(account)
        if bucket is None:
            since = self._kept_since_by_account.get(account, now)
            level = burst
            if since is not None:
                level = NEW_OWNER_BURST_SHARE * burst + (now - since) * rate
            bucket = _Bucket(level=min(burst, level), updated_at=now, asked_at=now)
            self._bucket_by_account[account] = bucket
            return bucket
        added = (now - bucket.updated_at) * rate
        bucket.level = min(burst, bucket.level + added)
        bucket.updated_at = now
        return bucket
