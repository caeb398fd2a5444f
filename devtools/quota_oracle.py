"""Oracle for allowances: what one token bucket for the whole fleet would permit.

The calls in every window of t seconds are at most ``rate * t + burst`` if and only if
the level of this bucket never drops below zero: it starts full, accrues ``rate`` up to
``burst`` and loses one token per call. While a change of the allowance spreads to the
daemons, the rates and the bursts of the old and the new allowance are added up.
"""

import math
from dataclasses import dataclass, field

from cassiasail._internal.state.lists import Allowance

# Tokens; covers the rounding errors of the buckets of all shards.
TOLERANCE = 1e-3


@dataclass
class AllowanceOracle:
    """Counts the calls of one allowance and those that exceed it.

    ``level`` is that of the bucket, as of ``now``. ``over_rate`` and
    ``over_in_flight`` count the calls in excess of rate and burst, and of permits.
    """

    allowance: Allowance
    level: float
    now: float
    # Seconds for which permits of a replaced allowance may stay in use.
    permit_hold_seconds: float
    calls: int = 0
    over_rate: int = 0
    over_in_flight: int = 0
    in_flight: int = 0
    lowest_level: float = math.inf
    # (end, allowance): replaced allowances that still add to rate and burst.
    replaced: list[tuple[float, Allowance]] = field(default_factory=list)
    # (end, limit): permits of replaced allowances that may still be in use.
    replaced_in_flight: list[tuple[float, int]] = field(default_factory=list)

    def change(self, now: float, allowance: Allowance, spread_seconds: float) -> None:
        """Replace the allowance; the old one counts for ``spread_seconds`` more."""
        self._advance(now)
        self.replaced.append((now + spread_seconds, self.allowance))
        until = now + spread_seconds + self.permit_hold_seconds
        self.replaced_in_flight.append((until, self.allowance.in_flight))
        self.allowance = allowance
        self.level += allowance.burst

    def start(self, now: float) -> None:
        """Count the start of a call."""
        self._advance(now)
        self.calls += 1
        self.level -= 1
        self.lowest_level = min(self.lowest_level, self.level)
        if self.level < -TOLERANCE:
            self.over_rate += 1
            # Each excess call counts once, not again with the calls after it.
            self.level += 1
        self.in_flight += 1
        self.replaced_in_flight = [
            item for item in self.replaced_in_flight if item[0] > now
        ]
        limits = [limit for _, limit in self.replaced_in_flight]
        if self.in_flight > max([self.allowance.in_flight, *limits]):
            self.over_in_flight += 1

    def end(self) -> None:
        """Count the end of a call."""
        self.in_flight -= 1

    def _advance(self, now: float) -> None:
        while self.replaced and self.replaced[0][0] <= now:
            end, _ = self.replaced[0]
            self._accrue(end)
            self.replaced.pop(0)
        self._accrue(now)

    def _accrue(self, now: float) -> None:
        allowances = [self.allowance, *(allowance for _, allowance in self.replaced)]
        rate = sum(allowance.rate for allowance in allowances)
        burst = sum(allowance.burst for allowance in allowances)
        self.level = min(burst, self.level + rate * max(0.0, now - self.now))
        self.now = max(self.now, now)
