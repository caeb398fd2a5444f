"""The sources from which a daemon copies a store table, in their order."""

from dataclasses import dataclass
from random import Random

from ...protocol.exchanges import Address
from .backoff import Backoff

# Delay before a failed source is polled again, doubled with each failure.
FIRST_RETRY_DELAY_SECONDS = 0.1
# Number of preferred VMs that are polled before the store.
RELAY_COUNT = 2
# Number of VMs of a data centre that read the store as soon as the relays before them
# fail; the others follow these VMs.
STORE_READER_COUNT = 3


@dataclass(frozen=True, slots=True, kw_only=True)
class SyncSources:
    """Sync sources of this VM in the order in which they are polled.

    ``preferred`` are the VMs of the local data centre that come before this VM, and for
    the first VM of a data centre the first VMs of other data centres of the region. The
    first of them are polled before the store. ``fallback`` are polled last.
    """

    preferred: tuple[Address, ...]
    fallback: tuple[Address, ...]
    is_data_centre_head: bool = False

    @property
    def any_known(self) -> bool:
        """Whether any other daemon is known."""
        return bool(self.preferred or self.fallback)

    @property
    def is_store_reader(self) -> bool:
        """Whether this VM reads the store as soon as its relays fail."""
        return self.is_data_centre_head or len(self.preferred) < STORE_READER_COUNT

    def relays(self) -> tuple[Address | None, ...]:
        """Return the VMs that are polled before the store."""
        return self.preferred[:RELAY_COUNT]

    def sources(self, *, stale: bool) -> tuple[Address | None, ...]:
        """Return all sources that may be polled, in order; None is the store.

        VMs other than the store readers include the store only if their copy is
        ``stale``. If all VMs of a data centre read it at once, the responses would fill
        the link between regions, arrive too late and be requested again.
        """
        if self.is_store_reader or stale:
            return (*self.relays(), None, *self.fallback)
        return (*self.preferred[:STORE_READER_COUNT], *self.fallback)


class SourceBackoffs:
    """The backoff of each source; None is the store."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._retry_at_by_source: dict[Address | None, float] = {}
        self._backoff_by_source: dict[Address | None, Backoff] = {}

    def retry_at(self, source: Address | None) -> float:
        return self._retry_at_by_source.get(source, 0.0)

    def record_failure(
        self, source: Address | None, now: float, max_delay: float
    ) -> None:
        backoff = self._backoff_by_source.get(source)
        if backoff is None:
            backoff = Backoff(
                first_delay=FIRST_RETRY_DELAY_SECONDS, random=self._random
            )
            self._backoff_by_source[source] = backoff
        self._retry_at_by_source[source] = now + backoff.next_delay(max_delay=max_delay)

    def record_success(self, source: Address | None) -> None:
        self._retry_at_by_source.pop(source, None)
        self._backoff_by_source.pop(source, None)
