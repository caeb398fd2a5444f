"""The sources from which a daemon copies a store table, in their order."""

from dataclasses import dataclass
from random import Random

from ...protocol.exchanges import Address
from .backoff import Backoff

# Delay before a failed source is polled again, doubled with each failure.
FIRST_RETRY_DELAY_SECONDS = 0.1
# Number of preferred VMs that are polled before the store.
RELAY_COUNT = 2
# Number of VMs of the local data centre that are polled in place of the store by a VM
# that may not read it yet.
MAX_PREFERRED_SOURCES = 3
# A VM that is not the first of its data centre reads the store once its copy is older
# than the first fraction of the maximum age and the second one for each VM before it in
# the region: about the time in which a large table crosses the link between two regions
# and is then offered to the others.
FIRST_STORE_TURN_FRACTION = 0.5
STORE_TURN_FRACTION = 0.25


@dataclass(frozen=True, slots=True, kw_only=True)
class SyncSources:
    """Sync sources of this VM in the order in which they are polled.

    ``preferred`` are the VMs of the local data centre that come before this VM, and for
    the first VM of a data centre the first VMs of other data centres of the region. The
    first of them are polled before the store. ``fallback`` are polled last.
    ``store_rank`` is the number of VMs of the region that read the store before this
    one: the first VMs of all data centres, then the second ones, and so on.
    """

    preferred: tuple[Address, ...]
    fallback: tuple[Address, ...]
    is_data_centre_head: bool = False
    store_rank: int = 0

    @property
    def any_known(self) -> bool:
        """Whether any other daemon is known."""
        return bool(self.preferred or self.fallback)

    def may_read_store(self, *, age: float, max_age: float) -> bool:
        """Return whether a VM whose copy has this age, in seconds, may read the store.

        If all VMs of a region read it at once, a large table fills the link to the
        region, the responses arrive too late, and all of them are requested again.
        """
        if self.is_data_centre_head or not self.store_rank:
            return True
        turn = FIRST_STORE_TURN_FRACTION + STORE_TURN_FRACTION * self.store_rank
        return age > turn * max_age

    def relays(self) -> tuple[Address | None, ...]:
        """Return the VMs that are polled before the store."""
        return self.preferred[:RELAY_COUNT]

    def sources(self, *, with_store: bool) -> tuple[Address | None, ...]:
        """Return all sources that may be polled, in order; None is the store."""
        if with_store:
            return (*self.relays(), None, *self.fallback)
        return (*self.preferred[:MAX_PREFERRED_SOURCES], *self.fallback)


class SourceBackoffs:
    """The backoff of each source; None is the store."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._retry_at_by_source: dict[Address | None, float] = {}
        self._backoff_by_source: dict[Address | None, Backoff] = {}

    def retry_at(self, source: Address | None) -> float:
        return self._retry_at_by_source.get(source, 0.0)

    def has_failed(self, source: Address | None) -> bool:
        """Return whether the last poll of ``source`` failed."""
        return source in self._backoff_by_source

    def record_failure(
        self, source: Address | None, now: float, *, min_delay: float, max_delay: float
    ) -> None:
        """Back off ``source`` for ``min_delay`` seconds or longer."""
        backoff = self._backoff_by_source.get(source)
        if backoff is None:
            backoff = Backoff(
                first_delay=FIRST_RETRY_DELAY_SECONDS, random=self._random
            )
            self._backoff_by_source[source] = backoff
        delay = max(min_delay, backoff.next_delay(max_delay=max_delay))
        self._retry_at_by_source[source] = now + delay

    def record_success(self, source: Address | None) -> None:
        self._retry_at_by_source.pop(source, None)
        self._backoff_by_source.pop(source, None)
