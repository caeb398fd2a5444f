"""How a daemon without a parent finds the rest of a split fleet."""

import random

from cassiasail._internal.coordination import topology
from cassiasail._internal.coordination.control import ControlPlane
from cassiasail._internal.coordination.links import ControlOptions
from cassiasail._internal.ids import NO_VERSION, DaemonId, DataCentre, Region
from cassiasail._internal.protocol.messages import PROTOCOL_VERSION, Attach, Hello, Pong
from cassiasail._internal.state.members import MemberRecord, MemberTable
from cassiasail._internal.state.versions import VersionedLists
from tests.lib.clocks import VirtualClock
from tests.lib.fakestore import FakeStore


def record(address: str) -> MemberRecord:
    return MemberRecord(
        id=DaemonId(address),
        incarnation=1,
        sequence=0,
        region=Region("north"),
        data_centre=DataCentre("north-1"),
        peer_addr=address,
        http_addr=address,
        admin_addr=address,
    )


def test_contacts_are_probed_in_turn() -> None:
    """Guards against a split that lasts because dead contacts are dialed repeatedly
    before the living one; with one living contact of six, that took 10 s."""
    clock = VirtualClock()
    # The daemon under test is the head, so it has no other parent candidate.
    other, head = sorted(
        (DaemonId("10.0.0.1:7000"), DaemonId("10.0.0.2:7000")),
        key=lambda daemon: topology.rank("head", daemon),
    )
    table = MemberTable(own_record=record(head))
    table.merge(record(other), now=clock.now())
    contacts = [f"10.0.1.{number}:7000" for number in range(12)]
    dialed: list[str] = []
    control = ControlPlane(
        table=table,
        versions=VersionedLists(),
        clock=clock,
        rng=random.Random(5),
        options=ControlOptions(),
        seeds=contacts,
        store_region=Region("north"),
        store=FakeStore(clock=clock),
        send=lambda link, message: None,
        dial=dialed.append,
        close_connection=lambda link: None,
    )
    # The other member is alive and a child, so the daemon is not alone.
    control.link_opened("link", None)
    control.receive("link", Hello(PROTOCOL_VERSION, record(other), NO_VERSION, 0, {}))
    control.receive("link", Attach(True))
    failed_count = 0
    for _ in range(14 * 20):
        clock.advance(0.05)
        control.receive("link", Pong())
        control.tick()
        for address in dialed[failed_count:]:
            control.dial_failed(address)
        failed_count = len(dialed)
    assert len(table) == 2
    assert control.attachment.is_head
    assert set(contacts) <= set(dialed)
