"""A short soak, and soaks with seeds that once failed."""

import asyncio

import pytest

from devtools.soak.__main__ import soak

# Seed and seconds of faults; docs/soak.md lists what each seed found.
CASES = [(1, 6.0)]


@pytest.mark.parametrize(("seed", "seconds"), CASES)
def test_soak_has_no_violations(seed: int, seconds: float) -> None:
    """Guards against wrong results for clients or targets under combined faults."""
    assert asyncio.run(soak(seed, seconds, vms=4)) == []
