"""The connections of one listener, and which of them is closed for a new one."""

import asyncio
import heapq
from collections import deque
from dataclasses import dataclass
from enum import Enum
from typing import Generic, Protocol, TypeVar

from .. import metrics

# A client in use sends the rest of a head or body, and takes a response, within this
# time, unless its network is disturbed. The platform and operators are on the same VM
# or on a good network.
HELD_UP_SECONDS = 2.0
SERVICE_HELD_UP_SECONDS = 0.2
# Connections that one pass over all finds, and the pause after one in vain.
MAX_FOUND = 256
PASS_INTERVAL_SECONDS = 0.02


class Activity(Enum):
    """What a connection is doing."""

    IDLE = "idle"
    RECEIVING_HEAD = "receiving_head"
    RECEIVING_BODY = "receiving_body"
    # A request is being served, or its response is taken by the client.
    SERVED = "served"
    # The client does not take its response.
    BLOCKED = "blocked"


@dataclass(frozen=True, slots=True, kw_only=True)
class ConnectionState:
    """What a connection is doing, and the loop time since when without progress."""

    activity: Activity
    since: float


class TrackedConnection(Protocol):
    """A connection that may be closed for another one."""

    def state(self) -> ConnectionState:
        """Return what the connection is doing."""
        ...

    def has_unreceived_response(self) -> bool:
        """Return whether the client has not received all bytes sent to it."""
        ...

    def abort(self) -> None:
        """Close the connection at once."""
        ...


def closing_order(
    state: ConnectionState, now: float, held_up_seconds: float = HELD_UP_SECONDS
) -> tuple[int, float] | None:
    """Return the rank of a connection among those that may be closed, lowest first.

    Unfinished heads and bodies that make no progress go before idle connections, which
    may be in use again at any time, and these before clients that do not take their
    responses. Heads that have just begun go last; None if the connection is in use.
    """
    held_up = now - state.since > held_up_seconds
    if state.activity in (Activity.RECEIVING_HEAD, Activity.RECEIVING_BODY) and held_up:
        return 0, state.since
    if state.activity is Activity.IDLE:
        return 1, state.since
    if state.activity is Activity.BLOCKED and held_up:
        return 2, state.since
    if state.activity is Activity.RECEIVING_HEAD:
        return 3, state.since
    return None


C = TypeVar("C", bound=TrackedConnection)


class ConnectionTable(Generic[C]):
    """Open connections, at most ``limit`` of them; None for any number.

    One without progress for ``held_up_seconds`` may be closed for a new one.
    """

    def __init__(
        self, *, limit: int | None, held_up_seconds: float = HELD_UP_SECONDS
    ) -> None:
        self._limit = limit
        self._held_up_seconds = held_up_seconds
        self._loop = asyncio.get_running_loop()
        self._connections: dict[C, None] = {}
        # Those that may be closed, as of the last pass over all connections.
        self._found: deque[C] = deque()
        self._next_pass_at = 0.0

    @property
    def connections(self) -> tuple[C, ...]:
        """The open connections, in the order in which they were opened."""
        return tuple(self._connections)

    def add(self, connection: C) -> None:
        """Count a new connection."""
        self._connections[connection] = None

    def discard(self, connection: C) -> None:
        """Count a connection no longer."""
        self._connections.pop(connection, None)

    def make_room(self) -> bool:
        """Close a connection if the limit is reached; false if none may be closed."""
        if self._limit is None or len(self._connections) < self._limit:
            return True
        return self.close_one()

    def close_oldest(self) -> None:
        """Close the connection that was opened first, whatever it is doing."""
        if self._connections:
            self._close(next(iter(self._connections)))

    def close_one(self) -> bool:
        """Close the connection that is first by ``closing_order``; false without one.

        It is the first as of the last pass, and may still be closed.
        """
        now = self._loop.time()
        if self._close_first_found(now):
            return True
        if now < self._next_pass_at:
            return False
        self._found.extend(self._in_closing_order(now))
        if self._close_first_found(now):
            return True
        self._next_pass_at = now + PASS_INTERVAL_SECONDS
        return False

    def _close_first_found(self, now: float) -> bool:
        while self._found:
            connection = self._found.popleft()
            if connection in self._connections and self._may_close(connection, now):
                self._close(connection)
                return True
        return False

    def _in_closing_order(self, now: float) -> list[C]:
        ranked = (
            (order, connection)
            for connection in self._connections
            if (order := closing_order(connection.state(), now, self._held_up_seconds))
            is not None
        )
        first = heapq.nsmallest(MAX_FOUND, ranked, key=lambda each: each[0])
        return [connection for _, connection in first]

    def _may_close(self, connection: C, now: float) -> bool:
        state = connection.state()
        if closing_order(state, now, self._held_up_seconds) is None:
            return False
        # The query takes a system call, so it is not part of the state.
        is_idle = state.activity is Activity.IDLE
        return not (is_idle and connection.has_unreceived_response())

    def _close(self, connection: C) -> None:
        metrics.MESH_CLIENTS_DROPPED.labels("connections").inc()
        # It counts no longer, also while its end is still to be reported.
        self.discard(connection)
        connection.abort()
