"""Addresses to which a connection can be opened."""

from ipaddress import IPv4Address
from typing import NamedTuple

MAX_PORT = 65535
_MAX_PORT_DIGITS = 5


class Address(NamedTuple):
    """An IPv4 address in dotted decimal notation and a port.

    ``parse_address`` returns only those that a connection accepts.
    """

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


def parse_address(text: str) -> Address:
    """Parse an address such as ``10.1.0.8:8300``; raise ValueError if it is not one.

    Addresses of no single machine and ports out of range are refused as well: the
    socket library raises other errors for them than for an unreachable machine.
    """
    host, _, port = text.rpartition(":")
    if not (port.isascii() and port.isdigit()) or len(port) > _MAX_PORT_DIGITS:
        raise ValueError(f"{text[:50]!r} is not an IPv4 address with a port")
    if not 1 <= int(port) <= MAX_PORT:
        raise ValueError(f"port {port} is not from 1 to {MAX_PORT}")
    address = IPv4Address(host)
    if address.is_unspecified or address.is_multicast or address.is_reserved:
        raise ValueError(f"{host} is the address of no single machine")
    return Address(str(address), int(port))
