"""Memory for message bodies, shared by all connections of one kind in a daemon."""

from collections.abc import Callable, Hashable

# A VM may have 200 MB, and a body is copied up to three times on its way.
MAX_REQUEST_BODIES_BYTES = 24 << 20
MAX_RESPONSE_BODIES_BYTES = 24 << 20


class BodyMemory:
    """Bytes held for bodies, by holder, within ``limit`` bytes together.

    A single holder may exceed the limit, so that a body which the operator permits is
    accepted while no other one is held.
    """

    def __init__(self, *, limit: int) -> None:
        self._limit = limit
        self._held = 0
        self._held_by_holder: dict[Hashable, int] = {}
        self._drop_by_holder: dict[Hashable, Callable[[], None]] = {}

    @property
    def held(self) -> int:
        """Number of bytes held by all holders together."""
        return self._held

    def try_hold(self, holder: Hashable, size: int) -> bool:
        """Hold ``size`` more bytes for ``holder``; false if they don't fit."""
        own = self._held_by_holder.get(holder, 0)
        if self._held > own and self._held + size > self._limit:
            return False
        self._held_by_holder[holder] = own + size
        self._held += size
        return True

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
