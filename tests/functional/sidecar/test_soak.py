"""A short soak, and the seeds that ever failed."""

import asyncio

import pytest

from devtools.soak.__main__ import soak

# Seed, seconds of faults, and what the seed found; see docs/soak.md.
CASES = [(1, 6.0)]


@pytest.mark.parametrize(("seed", "seconds"), CASES)
def test_a_soak_keeps_the_promises(seed: int, seconds: float) -> None:
    """Guards against faults in combination that break what callers and targets see."""
    assert asyncio.run(soak(seed, seconds, vms=4)) == []
