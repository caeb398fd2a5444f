"""A short soak, and soaks with seeds that once failed."""

import asyncio

import pytest

from devtools.soak.__main__ import soak

# Seed, seconds of faults, and whether only planned operations are drawn; docs/soak.md
# lists what each seed found.
CASES = [(1, 6.0, False), (1, 6.0, True), (2, 6.0, True)]


@pytest.mark.parametrize(("seed", "seconds", "planned"), CASES)
def test_soak_has_no_violations(seed: int, seconds: float, planned: bool) -> None:
    """Guards against wrong results for clients or targets under combined faults."""
    assert asyncio.run(soak(seed, seconds, vms=4, planned=planned)) == []
