"""Short form of store versions for tests."""

from cassiasail._internal.state.table_mirror import StoreVersion


def at(number: int, era: int = 0) -> StoreVersion:
    """Return version ``number`` of ``era``."""
    return StoreVersion(era=era, number=number)
