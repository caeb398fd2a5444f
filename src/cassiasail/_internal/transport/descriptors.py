"""How the descriptors of a process are divided among its uses."""

import resource
from dataclasses import dataclass

# Shares of the descriptors. What is left of them is for the connections to the store,
# for the listeners and the event loop, and for connections that are being accepted.
CLIENTS_SHARE = 0.45
PEERS_SHARE = 0.2
HOSTS_SHARE = 0.18
TARGET_SHARE = 0.05
SERVICE_SHARE = 0.01
# Each listener may have this share of connections besides, which are refused at once.
REFUSED_SHARE = 0.005
# The least for any use: a target and a platform that check on a daemon have a few
# connections each.
LEAST = 4


@dataclass(frozen=True, slots=True, kw_only=True)
class DescriptorShares:
    """The most connections for each use.

    ``clients`` and ``peers`` are accepted from clients and other daemons, ``hosts`` and
    ``target`` are opened to other daemons and the target of this VM. ``service`` is for
    each listener of the platform and operators, and ``refused`` for each listener
    beside the others.
    """

    clients: int
    peers: int
    hosts: int
    target: int
    service: int
    refused: int


def shares_of(descriptors: int) -> DescriptorShares:
    """Divide ``descriptors``, or those of the process if it may open fewer."""
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft_limit != resource.RLIM_INFINITY:
        descriptors = min(descriptors, soft_limit)

    def share(part: float) -> int:
        return max(LEAST, int(part * descriptors))

    return DescriptorShares(
        clients=share(CLIENTS_SHARE),
        peers=share(PEERS_SHARE),
        hosts=share(HOSTS_SHARE),
        target=share(TARGET_SHARE),
        service=share(SERVICE_SHARE),
        refused=share(REFUSED_SHARE),
    )
