"""Tokens that this daemon holds for its own clients, by account."""

import math
from dataclasses import dataclass

from ....state.client_accounts import AccountQuota

# Tokens are asked for ahead of the requests of this time. It is short, as tokens held
# here are missing elsewhere.
AHEAD_SECONDS = 0.15
# A token that was not used for this long is given back.
HOLD_SECONDS = 0.5
# Time over which the rate of requests is averaged.
DEMAND_SECONDS = 1.0
# After a refusal by the owner, requests are refused without asking it for this long at
# most. The bucket keeps what its rate adds meanwhile.
MAX_DENIED_SECONDS = 0.1


@dataclass(slots=True)
class TokenStock:
    """The tokens of one account; times are loop times in seconds.

    ``given_back`` tokens are to be reported to the owner. ``reserve`` tokens are for
    requests whose owner gives no answer.
    """

    tokens: int = 0
    expires_at: float = 0.0
    given_back: int = 0
    denied_until: float = 0.0
    next_in: float = 0.0
    reserve: float = 1.0
    reserve_at: float = 0.0
    _demand: float = 0.0
    _demand_at: float = 0.0

    def record_request(self, now: float) -> None:
        """Record the arrival of a request."""
        self._demand = self.demand(now) + 1 / DEMAND_SECONDS
        self._demand_at = now

    def demand(self, now: float) -> float:
        """Return the recent rate of requests, in requests a second."""
        return self._demand * math.exp((self._demand_at - now) / DEMAND_SECONDS)

    def take(self, now: float) -> bool:
        """Take one token; false if there is none."""
        self.expire(now)
        if not self.tokens:
            return False
        self.tokens -= 1
        return True

    def add(self, tokens: int, now: float) -> None:
        """Add granted tokens."""
        self.tokens += tokens
        self.expires_at = now + HOLD_SECONDS

    def put_back(self, now: float) -> None:
        """Keep the token of a request that was not run, or report it to the owner.

        No more than one is kept: many together would be used beside the tokens that the
        owner grants meanwhile.
        """
        if self.tokens:
            self.given_back += 1
        else:
            self.add(1, now)

    def expire(self, now: float) -> None:
        """Set aside tokens that were not used in time, to be given back."""
        if self.tokens and now >= self.expires_at:
            self.given_back += self.tokens
            self.tokens = 0

    def ahead(self, now: float) -> int:
        """Return the number of tokens to ask for ahead of requests."""
        return max(0, int(self.demand(now) * AHEAD_SECONDS) - self.tokens)

    def deny(self, next_in: float, now: float) -> None:
        """Apply a refusal by the owner, which has the next token in ``next_in`` s."""
        self.next_in = next_in
        self.denied_until = now + min(MAX_DENIED_SECONDS, next_in)

    def take_reserve(self, share: AccountQuota, now: float) -> bool:
        """Take a token of this daemon's ``share`` of the quota; false if none is left.

        The share is used while the owner gives no answer.
        """
        added = (now - self.reserve_at) * share.rate
        self.reserve = min(share.burst, self.reserve + added)
        self.reserve_at = now
        if self.reserve < 1:
            return False
        self.reserve -= 1
        return True

    def is_idle(self, now: float) -> bool:
        """Return whether nothing would be lost without this stock."""
        return (
            not self.tokens
            and not self.given_back
            and now - self._demand_at > 2 * DEMAND_SECONDS
            and now - self.reserve_at > 2 * DEMAND_SECONDS
        )
