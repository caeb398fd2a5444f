"""Settings shared by all tests."""

from collections.abc import Iterator

import pytest
from hypothesis import settings

from cassiasail._internal import invariants

# Fixed seeds and no per-example deadline: the verdict must not depend on the speed
# of the machine.
settings.register_profile("ci", derandomize=True, deadline=None, print_blob=True)
settings.load_profile("ci")


@pytest.fixture(autouse=True)
def strict_invariants() -> Iterator[None]:
    """Make every violated invariant fail the test."""
    invariants.set_strict(True)
    yield
    invariants.set_strict(False)
