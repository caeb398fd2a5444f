"""Bytes of a connection that its peer has not acknowledged."""

import asyncio
import fcntl
import logging
import sys
import termios

logger = logging.getLogger(__name__)


def unacknowledged_bytes(transport: asyncio.Transport) -> int:
    """Return the bytes that were written and that the peer has not acknowledged.

    Only those that the kernel has not taken yet, if its send queue is unknown.
    """
    buffered = transport.get_write_buffer_size()
    connection = transport.get_extra_info("socket")
    if connection is None or connection.fileno() < 0:
        return buffered
    try:
        sent = fcntl.ioctl(connection.fileno(), termios.TIOCOUTQ, bytes(4))
    except OSError as error:
        logger.debug("the send queue of a connection is unknown: %s", error)
        return buffered
    return buffered + int.from_bytes(sent, sys.byteorder)
