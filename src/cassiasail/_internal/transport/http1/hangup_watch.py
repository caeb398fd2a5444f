"""Notices that a peer has closed a connection which is not being read.

The event loop learns that a peer has closed its side by reading. A connection whose
reading is paused would be noticed only once it is read again, and its requests would be
started meanwhile.
"""

import asyncio
import select
import socket
from collections.abc import Callable

# A close of the peer's side, a close of both and a reset.
_HANGUP = select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR


class HangupWatch:
    """Calls a callback once the peer of a watched socket has hung up.

    All sockets share one epoll object, which is read by the event loop.
    """

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._hung_up_by_fd: dict[int, Callable[[], None]] = {}
        self._epoll: select.epoll | None = None

    def watch(self, connection: socket.socket, hung_up: Callable[[], None]) -> None:
        """Call ``hung_up`` once if the peer hangs up before ``unwatch``."""
        if self._epoll is None:
            self._epoll = select.epoll()
            self._loop.add_reader(self._epoll.fileno(), self._poll)
        fd = connection.fileno()
        if fd in self._hung_up_by_fd:
            self._epoll.modify(fd, _HANGUP)
        else:
            self._epoll.register(fd, _HANGUP)
        self._hung_up_by_fd[fd] = hung_up

    def unwatch(self, connection: socket.socket) -> None:
        """Stop watching a socket, which must not be closed yet."""
        fd = connection.fileno()
        if self._hung_up_by_fd.pop(fd, None) is not None and self._epoll is not None:
            self._epoll.unregister(fd)

    def close(self) -> None:
        """Stop watching all sockets."""
        if self._epoll is not None:
            self._loop.remove_reader(self._epoll.fileno())
            self._epoll.close()
            self._epoll = None
        self._hung_up_by_fd.clear()

    def _poll(self) -> None:
        assert self._epoll is not None
        for fd, _ in self._epoll.poll(0):
            hung_up = self._hung_up_by_fd.pop(fd, None)
            self._epoll.unregister(fd)
            if hung_up is not None:
                hung_up()
