"""Daemons and connection ends of the simulated network."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from cassiasail._internal.coordination.control import ControlPlane
from cassiasail._internal.ids import DaemonId, DataCentre, Region


@dataclass(eq=False)
class ConnectionEnd:
    """One end of a connection, which the control plane gets as its handle."""

    node: "Node"
    other: "ConnectionEnd" = field(init=False)
    open: bool = True
    next_delivery: float = 0.0


@dataclass(eq=False)
class Node:
    """A daemon, with its location and, while it runs, its control plane."""

    id: DaemonId
    region: Region
    data_centre: DataCentre
    control: ControlPlane | None = None
    paused: bool = False
    incarnation: int = 0
    inbox: deque[Callable[[], None]] = field(default_factory=deque)
    notices: list[bytes] = field(default_factory=list)
    version: int = 0
    sent_bytes: int = 0
    received_bytes: int = 0
    busy_seconds: float = 0.0
