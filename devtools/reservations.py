"""Reserves loopback networks and ports, so that programs can run beside each other.

The user of an address binds it some time after it was chosen, and again after a
restart. Each reservation is therefore a bound socket at an address that nothing else
uses, held until this process ends. The system releases it when the process crashes.
"""

import errno
import random
import socket
from collections.abc import Iterator

from .layouts import STORE_PORT

HOST = "127.0.0.1"
# Second octet of the addresses of a layout.
NETS = range(20, 220)
# Reserves 127.NET; no process of a layout has this port at the address of the store.
_NET_RESERVATION_PORT = 6001
# Below the range of ephemeral ports, so that no outgoing connection takes one of these
# before its use.
PORTS = range(10000, 30000)
# One socket reserves this many ports: a soak of 50 runs uses 1,800 of them, more than
# the 1,024 sockets that many systems allow a process.
PORT_BLOCK_SIZE = 100
# Its port N reserves the block of ports from N on.
_PORT_RESERVATION_HOST = "127.0.0.3"

_held_sockets: list[socket.socket] = []


def reserve_net() -> int:
    """Return the number of a loopback network that no other layout uses."""
    for net in NETS:
        host = f"127.{net}.0.1"
        holder = _bind(host, _NET_RESERVATION_PORT)
        if holder is None:
            continue
        # The processes of a layout may outlive the one that started them.
        if _is_free(host, STORE_PORT):
            _held_sockets.append(holder)
            return net
        holder.close()
    raise RuntimeError("no free loopback network; stop other layouts first")


def reserve_port() -> int:
    """Return a port of ``HOST`` that no other program uses; each is returned once."""
    return next(_ports)


def _reserve_ports() -> Iterator[int]:
    while True:
        for port in _reserve_port_block():
            if _is_free(HOST, port):
                yield port


def _reserve_port_block() -> range:
    starts = list(PORTS[::PORT_BLOCK_SIZE])
    # In random order, as connections of the last user may still occupy some ports.
    random.SystemRandom().shuffle(starts)
    for start in starts:
        holder = _bind(_PORT_RESERVATION_HOST, start)
        if holder is not None:
            _held_sockets.append(holder)
            return range(start, start + PORT_BLOCK_SIZE)
    raise RuntimeError("no free loopback ports; stop other programs first")


def _is_free(host: str, port: int) -> bool:
    probe = _bind(host, port)
    if probe is None:
        return False
    probe.close()
    return True


def _bind(host: str, port: int) -> socket.socket | None:
    """Return a socket bound to the address, None if the address is in use."""
    bound = socket.socket()
    try:
        bound.bind((host, port))
    except OSError as error:
        bound.close()
        if error.errno != errno.EADDRINUSE:
            raise
        return None
    return bound


_ports = _reserve_ports()
