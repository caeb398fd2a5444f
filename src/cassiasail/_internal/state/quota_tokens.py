"""Tokens by which daemons share the quota of a client account.

One token stands for one request that targets may run. The daemon that keeps the bucket
of an account grants tokens to the others.
"""

from typing import NamedTuple

from ..ids import AccountName


class TokenAsk(NamedTuple):
    """What a daemon asks for one account.

    ``needed`` tokens are for requests that wait, ``ahead`` for those expected soon.
    ``given_back`` tokens were granted before and are not used.
    """

    account: AccountName
    needed: int
    ahead: int
    given_back: int


class TokenGrant(NamedTuple):
    """The tokens that the owner grants, and the seconds until it has another one."""

    account: AccountName
    tokens: int
    next_in: float
