"""Client accounts of the sidecars: their keys, priorities and quotas.

A client sends a key of its account with each request, unless the route is public. The
accounts of a configuration are looked up by key, so the cost does not grow with their
number. Keys are secrets: no ``repr`` shows them, and they go into no log, metric or
response.
"""

from collections import Counter
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from enum import Enum

from ..ids import AccountName


@dataclass(frozen=True, slots=True, kw_only=True)
class AccountQuota:
    """Requests that one account may have run by targets, over all daemons together.

    ``rate`` is in requests a second, ``burst`` in requests.
    """

    rate: float
    burst: float


@dataclass(frozen=True, slots=True, kw_only=True)
class ClientAccount:
    """One client account.

    ``priority`` 0 is the most urgent; it goes before the priority of the route.
    ``quota`` is None for an account without a limit.
    """

    name: AccountName
    keys: tuple[str, ...] = field(repr=False)
    priority: int = 0
    quota: AccountQuota | None = None


class KeyFault(Enum):
    """Why a request is attributed to no account; the value is a label in metrics."""

    MISSING = "missing"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True, kw_only=True)
class ClientAccounts:
    """The accounts of one configuration.

    ``find(key)`` returns the account that holds ``key``, or why there is none.
    """

    account_by_name: Mapping[AccountName, ClientAccount]
    _account_by_key: Mapping[str, ClientAccount] = field(
        init=False, repr=False, compare=False
    )

    def __post_init__(self) -> None:
        account_by_key = {
            key: account
            for account in self.account_by_name.values()
            for key in account.keys
        }
        object.__setattr__(self, "_account_by_key", account_by_key)

    def find(self, key: str | None) -> ClientAccount | KeyFault:
        """Return the account that holds ``key``, or why there is none."""
        if key is None:
            return KeyFault.MISSING
        return self._account_by_key.get(key, KeyFault.UNKNOWN)

    def find_faults(self) -> Iterator[str]:
        """Yield a message for each fault; none contains a key."""
        holders = Counter(
            key
            for account in self.account_by_name.values()
            for key in set(account.keys)
        )
        for account in self.account_by_name.values():
            if any(holders[key] > 1 for key in account.keys):
                yield f"account {account.name}: a key is held by another account too"
