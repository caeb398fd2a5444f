"""Memory for messages, shared by all connections of one kind in a daemon."""

import asyncio
import time
from collections.abc import Callable, Hashable
from dataclasses import dataclass

# A VM may have 200 MB, and a body is copied up to three times on its way.
MAX_REQUEST_BODIES_BYTES = 24 << 20
MAX_RESPONSE_BODIES_BYTES = 24 << 20
# Responses that clients have not taken yet. Ordinary clients take them at once.
MAX_UNSENT_BYTES = 24 << 20
# Share of the memory of a VM for each of these limits. There are four: requests and
# responses being read, and responses to clients and to daemons. The rest is for the
# process itself, which takes 50 MB, and for copies.
MEMORY_SHARE = 0.12
# An incomplete request that is older gives way to others if memory is short. Clients
# in use send theirs within this time.
INCOMPLETE_SECONDS = 1.0


def limit_for(memory_bytes: float, limit: int) -> int:
    """Return ``limit``, or the share of a VM's memory if that is less."""
    return min(limit, int(MEMORY_SHARE * memory_bytes))


@dataclass(frozen=True, slots=True, kw_only=True)
class _Incomplete:
    """A request that is still being received, since a time of the clock."""

    since: float
    drop: Callable[[], None]


class BodyMemory:
    """Bytes held for bodies, by holder, within ``limit`` bytes together.

    A single holder may exceed the limit, so that a body which the operator permits is
    accepted while no other one is held. ``clock`` returns seconds.
    """

    def __init__(
        self, *, limit: int, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._limit = limit
        self._clock = clock
        self._held = 0
        self._held_by_holder: dict[Hashable, int] = {}
        self._drop_by_holder: dict[Hashable, Callable[[], None]] = {}
        self._incomplete_by_holder: dict[Hashable, _Incomplete] = {}

    @property
    def held(self) -> int:
        """Number of bytes held by all holders together."""
        return self._held

    def begin(self, holder: Hashable, drop: Callable[[], None]) -> None:
        """Note that the request of ``holder`` is incomplete.

        Until ``complete`` is called, ``drop`` may be, which has to release it.
        """
        self._incomplete_by_holder[holder] = _Incomplete(since=self._clock(), drop=drop)

    def complete(self, holder: Hashable) -> None:
        """Note that the request of ``holder`` has been received."""
        self._incomplete_by_holder.pop(holder, None)

    def try_hold(self, holder: Hashable, size: int) -> bool:
        """Hold ``size`` more bytes for ``holder``; false if they don't fit.

        Incomplete requests that use most memory for longest give way.
        """
        while not self._fits(holder, size):
            incomplete = self._costliest_incomplete(holder)
            if incomplete is None:
                return False
            incomplete.drop()
        self._held_by_holder[holder] = self._held_by_holder.get(holder, 0) + size
        self._held += size
        return True

    def _fits(self, holder: Hashable, size: int) -> bool:
        own = self._held_by_holder.get(holder, 0)
        return self._held <= own or self._held + size <= self._limit

    def _costliest_incomplete(self, newest: Hashable) -> _Incomplete | None:
        """Return the request with most bytes times seconds, None if all are young."""
        now = self._clock()
        costs = (
            (self._held_by_holder.get(holder, 0) * (now - each.since), holder)
            for holder, each in self._incomplete_by_holder.items()
            if holder is not newest and now - each.since > INCOMPLETE_SECONDS
        )
        cost, holder = max(costs, key=lambda pair: pair[0], default=(0.0, None))
        return self._incomplete_by_holder.pop(holder) if cost else None

    def hold(self, holder: Hashable, size: int, drop: Callable[[], None]) -> None:
        """Hold ``size`` more bytes for ``holder``, whose body is being received.

        If they don't fit, the body that holds most is dropped: ``drop`` of its holder
        is called, which has to release it.
        """
        self._drop_by_holder[holder] = drop
        self._held_by_holder[holder] = self._held_by_holder.get(holder, 0) + size
        self._held += size
        if self._held > self._limit and len(self._held_by_holder) > 1:
            largest = max(self._drop_by_holder, key=self._held_by_holder.__getitem__)
            self._drop_by_holder[largest]()

    def release(self, holder: Hashable) -> None:
        """Release all bytes that ``holder`` holds."""
        self._held -= self._held_by_holder.pop(holder, 0)
        self._drop_by_holder.pop(holder, None)
        self._incomplete_by_holder.pop(holder, None)


@dataclass(slots=True, kw_only=True)
class _Unsent:
    """Responses that one connection has not taken; ``since`` is a loop time."""

    size: int
    responses: int
    since: float
    drop: Callable[[], None]
    is_waiting: Callable[[], bool]
    shed: Callable[[], None]

    def give_way(self) -> None:
        """Release the responses, and drop the connection if its client takes none."""
        if self.is_waiting():
            self.shed()
        else:
            self.drop()


class UnsentResponses:
    """Bytes of responses that are ready and not taken by their clients.

    Beyond ``limit`` bytes the connection gives way that has used most memory for
    longest, by bytes times seconds. Clients that take their responses at once use
    nearly none. A connection whose responses wait for an earlier one, which its client
    can't take yet, is not dropped but loses these responses. A single response may
    exceed the limit.
    """

    def __init__(self, *, limit: int) -> None:
        self._limit = limit
        self._loop = asyncio.get_running_loop()
        self._held = 0
        self._unsent_by_holder: dict[Hashable, _Unsent] = {}

    @property
    def limit(self) -> int:
        """Number of bytes beyond which connections give way."""
        return self._limit

    @property
    def held(self) -> int:
        """Number of bytes of all connections together."""
        return self._held

    def hold(
        self,
        holder: Hashable,
        size: int,
        drop: Callable[[], None],
        *,
        is_waiting: Callable[[], bool] = lambda: False,
        shed: Callable[[], None] = lambda: None,
    ) -> None:
        """Count a response of ``size`` bytes that is ready for ``holder``.

        ``drop`` is called if the connection is to be dropped, and ``shed`` if its
        responses are to be and ``is_waiting`` returns that all of them wait for an
        earlier one; each has to release all.
        """
        unsent = self._unsent_by_holder.get(holder)
        if unsent is None:
            unsent = _Unsent(
                size=0,
                responses=0,
                since=self._loop.time(),
                drop=drop,
                is_waiting=is_waiting,
                shed=shed,
            )
            self._unsent_by_holder[holder] = unsent
        unsent.size += size
        unsent.responses += 1
        self._held += size
        while self._held > self._limit and self._may_drop():
            now = self._loop.time()
            victim = max(
                self._unsent_by_holder.values(),
                key=lambda each: (each.size * (now - each.since), each.size),
            )
            victim.give_way()

    def begin_sending(self, holder: Hashable) -> None:
        """Note that ``holder`` can take a response from now on."""
        unsent = self._unsent_by_holder.get(holder)
        if unsent is not None:
            unsent.since = self._loop.time()

    def release(self, holder: Hashable, size: int) -> None:
        """Release a response that ``holder`` has taken."""
        unsent = self._unsent_by_holder.get(holder)
        if unsent is None:
            return
        unsent.size -= size
        unsent.responses -= 1
        self._held -= size
        unsent.since = self._loop.time()
        if not unsent.responses:
            del self._unsent_by_holder[holder]

    def release_all(self, holder: Hashable) -> None:
        """Release all responses of ``holder``."""
        unsent = self._unsent_by_holder.pop(holder, None)
        if unsent is not None:
            self._held -= unsent.size

    def _may_drop(self) -> bool:
        responses = sum(each.responses for each in self._unsent_by_holder.values())
        return responses > 1
