"""Networks and ports of layouts that run beside each other."""

import socket
import subprocess
import sys
from collections.abc import Callable, Iterator
from contextlib import contextmanager

import pytest

from devtools import reservations
from devtools.layouts import STORE_PORT
from devtools.reservations import PORT_BLOCK_SIZE, reserve_net, reserve_port

# Ranges for these tests alone: no layout that starts meanwhile takes their numbers.
NETS = range(220, 255)
PORTS = range(30000, 32000)
# Reserves one number, prints it and holds it until the process is killed.
SCRIPT = f"""\
import signal, sys
from devtools import reservations
reservations.NETS, reservations.PORTS = {NETS}, {PORTS}
print(getattr(reservations, sys.argv[1])(), flush=True)
signal.pause()
"""


@contextmanager
def reserved_elsewhere(function_name: str) -> Iterator[int]:
    """Yield what another process reserved, then kill it."""
    process = subprocess.Popen(
        [sys.executable, "-c", SCRIPT, function_name], stdout=subprocess.PIPE
    )
    assert process.stdout is not None
    try:
        yield int(process.stdout.readline())
    finally:
        process.kill()
        process.wait()
        process.stdout.close()


@pytest.mark.parametrize("reserve", [reserve_net, reserve_port])
def test_callers_get_different_numbers(reserve: Callable[[], int]) -> None:
    """Guards against two layouts at one address, before either has bound it."""
    numbers = [reserve() for _ in range(3)]
    assert len(set(numbers)) == 3


def test_processes_reserve_different_nets_until_they_end(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against one network for two runs, and against one lost by a crash."""
    with reserved_elsewhere("reserve_net") as net:
        monkeypatch.setattr(reservations, "NETS", range(net, net + 1))
        with pytest.raises(RuntimeError, match="no free loopback network"):
            reserve_net()
    assert reserve_net() == net


def test_processes_reserve_different_ports_until_they_end(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against one port for two runs, and against ports lost by a crash."""
    with reserved_elsewhere("reserve_port") as port:
        start = port - port % PORT_BLOCK_SIZE
        block = range(start, start + PORT_BLOCK_SIZE)
        monkeypatch.setattr(reservations, "PORTS", block)
        monkeypatch.setattr(reservations, "_ports", reservations._reserve_ports())
        with pytest.raises(RuntimeError, match="no free loopback ports"):
            reserve_port()
    monkeypatch.setattr(reservations, "_ports", reservations._reserve_ports())
    assert reserve_port() in block


def test_network_of_a_running_store_is_not_reserved(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against the network of a layout that outlived its starter."""
    with reserved_elsewhere("reserve_net") as net:
        store = socket.socket()
        store.bind((f"127.{net}.0.1", STORE_PORT))
    monkeypatch.setattr(reservations, "NETS", range(net, net + 1))
    with store, pytest.raises(RuntimeError, match="no free loopback network"):
        reserve_net()
    assert reserve_net() == net
