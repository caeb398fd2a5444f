"""Addresses of peers from records and rows of the store."""

import asyncio

import pytest

from cassiasail._internal import metrics
from cassiasail._internal.ids import DaemonId, Region
from cassiasail._internal.transport.peers import CONTROL_PATH, LocalPeer, dial
from cassiasail._internal.transport.shaping import RegionLink


@pytest.mark.parametrize(
    "address",
    ["127.0.0.1:70000", "127.0.0.1:99999999999999999999", "[::1:80", "\ud800:80", ""],
)
def test_odd_address_of_a_peer_is_not_connected_to(address: str) -> None:
    """Guards against one contact in the store that ends the task which dials it."""
    link = RegionLink(delay=0.0, rate=0.0)
    local = LocalPeer(daemon=DaemonId("a"), region=Region("r"), link=link)
    refused = metrics.MESSAGES_REFUSED.labels("bad_address")
    before = refused.value
    assert asyncio.run(dial(address, CONTROL_PATH, local, 1000)) is None
    assert refused.value == before + 1
