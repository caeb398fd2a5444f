"""The oracle for allowances: what a single counter of the whole fleet would allow.

Calls in every window of t seconds stay within rate * t + burst exactly if a bucket
that starts full, accrues ``rate`` up to ``burst`` and gives one token a call never
runs below zero. While a change of the allowance spreads, both rates and both
bursts count.
"""

import math
from dataclasses import dataclass, field

from cassiasail._internal.state.lists import Allowance

# Rounding of the program's buckets, summed over all shards.
TOLERANCE = 1e-3


@dataclass
class AllowanceOracle:
    """Counts calls of one allowance and notes those beyond it."""

    allowance: Allowance
    level: float
    now: float
    hold: float  # seconds for which permits of an old allowance may stay in use
    calls: int = 0
    over_rate: int = 0
    over_in_flight: int = 0
    in_flight: int = 0
    lowest: float = math.inf
    # (end, allowance): old allowances that still count towards rate and burst.
    old: list[tuple[float, Allowance]] = field(default_factory=list)
    old_in_flight: list[tuple[float, int]] = field(default_factory=list)

    def change(self, now: float, allowance: Allowance, spread: float) -> None:
        """Let ``allowance`` replace the current one within ``spread`` seconds."""
        self._advance(now)
        self.old.append((now + spread, self.allowance))
        until = now + spread + self.hold
        self.old_in_flight.append((until, self.allowance.in_flight))
        self.allowance = allowance
        self.level += allowance.burst

    def start(self, now: float) -> None:
        """Count the start of a call."""
        self._advance(now)
        self.calls += 1
        self.level -= 1
        self.lowest = min(self.lowest, self.level)
        if self.level < -TOLERANCE:
            self.over_rate += 1
            # Each excess call counts once, not again with the calls after it.
            self.level += 1
        self.in_flight += 1
        self.old_in_flight = [item for item in self.old_in_flight if item[0] > now]
        limits = [limit for _, limit in self.old_in_flight]
        if self.in_flight > max([self.allowance.in_flight, *limits]):
            self.over_in_flight += 1

    def end(self) -> None:
        """Count the end of a call."""
        self.in_flight -= 1

    def _advance(self, now: float) -> None:
        while self.old and self.old[0][0] <= now:
            end, _ = self.old[0]
            self._accrue(end)
            self.old.pop(0)
        self._accrue(now)

    def _accrue(self, now: float) -> None:
        counted = [self.allowance, *(allowance for _, allowance in self.old)]
        rate = sum(allowance.rate for allowance in counted)
        burst = sum(allowance.burst for allowance in counted)
        self.level = min(burst, self.level + rate * max(0.0, now - self.now))
        self.now = max(self.now, now)
