"""From which VMs a daemon polls the tables, over data centres and regions."""

import asyncio
from collections import Counter
from dataclasses import replace
from random import Random

from cassiasail._internal.coordination.mesh.balancing import Fleet
from cassiasail._internal.coordination.mesh.following import FollowTimes
from cassiasail._internal.coordination.mesh.sync_sources import SyncSources
from cassiasail._internal.ids import DataCentre, Region
from cassiasail._internal.protocol.exchanges import Address
from cassiasail._internal.state.hosts import HostRecord
from tests.lib.store_versions import at
from tests.unit.mesh.test_entry import record
from tests.unit.mesh.test_following import NO_PEERS, FakeStore, Node

REGIONS, CENTRES_PER_REGION, VMS_PER_CENTRE = 2, 4, 24
TIMES = FollowTimes(wait=0.75, max_age=1.5)


def all_records() -> list[HostRecord]:
    """Return the records of a fleet of 192 VMs with links of three rates."""
    return [
        replace(
            record("v"),
            host=f"vm-{region}-{centre}-{vm}",
            address=Address(f"10.{region}.{centre}.{vm}", 80),
            data_centre=DataCentre(f"dc-{region}-{centre}"),
            region=Region(f"r-{region}"),
            link_mbps=(7, 30, 70)[vm % 3],
        )
        for region in range(REGIONS)
        for centre in range(CENTRES_PER_REGION)
        for vm in range(VMS_PER_CENTRE)
    ]


def sources_of(own: HostRecord, records: list[HostRecord]) -> SyncSources:
    fleet = Fleet(
        data_centre=own.data_centre,
        region=own.region,
        own_host=own.host,
        own_address=own.address,
        own_link_mbps=own.link_mbps,
        random=Random(1),
    )
    for version, each in enumerate(records, 1):
        fleet.update(each, at(version))
    return fleet.sync_sources()


def test_one_vm_of_a_region_polls_the_store() -> None:
    """Guards against a change that crosses a link once for each data centre.

    On small days of a large deployment eight relays read 850 routes from the store with
    each change, four of them over one narrow link, and applied them seconds late.
    """
    records = all_records()
    sources = [sources_of(each, records) for each in records]
    readers = [each for each in sources if not each.relays()]
    assert len(readers) == REGIONS
    heads = [each for each in sources if each.is_data_centre_head]
    assert len(heads) == REGIONS * CENTRES_PER_REGION


def test_another_vm_polls_the_store_after_the_loss_of_the_first() -> None:
    """Guards against a region without a daemon that polls the store."""
    records = all_records()
    lost = {each.host for each in records if not sources_of(each, records).relays()}
    left = [each for each in records if each.host not in lost]
    assert sum(not sources_of(each, left).relays() for each in left) == REGIONS


def test_fallback_polls_are_spread_over_the_fleet() -> None:
    """Guards against an outage in which all daemons poll the same two VMs."""
    records = all_records()
    polls: Counter[Address] = Counter()
    for each in records:
        sources = sources_of(each, records)
        polls.update(sources.fallback)
        assert len({address.host.rsplit(".", 1)[0] for address in sources.fallback}) > 1
    remote = [
        count for address, count in polls.items() if int(address.host.split(".")[3]) > 8
    ]
    assert max(remote) < len(records) / 10


def test_heads_stay_fresh_and_followers_never_read_the_store() -> None:
    """Guards against copies that are too old after one more daemon on the way."""

    async def main() -> None:
        store, head_store, unused = FakeStore(), FakeStore(), FakeStore()
        store.put("k", b"1")
        first = Node(store, NO_PEERS, TIMES)
        await first.wait_for_value(b"1")
        order = SyncSources(
            preferred=(await first.listen(),), fallback=(), is_data_centre_head=True
        )
        head = Node(head_store, order, TIMES)
        follower = Node(
            unused, SyncSources(preferred=(await head.listen(),), fallback=()), TIMES
        )
        await follower.wait_for_value(b"1")
        for _ in range(150):
            await asyncio.sleep(0.02)
            assert head.follower.age <= TIMES.max_age
        store.put("k", b"2")
        await follower.wait_for_value(b"2", 0.3)
        assert head_store.request_count == unused.request_count == 0

    asyncio.run(main())


def test_first_start_waits_for_peers_before_the_store_is_read() -> None:
    """Guards against a first start in which all daemons read the store together.

    No VM is known then. On small days of a large deployment the link between two
    regions was full for eight seconds.
    """

    async def main() -> None:
        store, unused = FakeStore(), FakeStore()
        store.put("k", b"1")
        first = Node(store, NO_PEERS, TIMES)
        address = await first.listen()
        peers_known = asyncio.Event()
        peers_known.set()
        later = Node(unused, NO_PEERS, TIMES, peers_known=peers_known, first_start=True)
        await asyncio.sleep(0.3)
        later.order = SyncSources(preferred=(address,), fallback=())
        await later.wait_for_value(b"1", 2.0)
        assert unused.request_count == 0

    asyncio.run(main())


def test_head_reads_only_the_changes_when_its_source_is_lost() -> None:
    """Guards against a whole table that crosses the link after each lost daemon."""

    async def main() -> None:
        store, own_store = FakeStore(), FakeStore()
        for each in (store, own_store):
            each.put("k", b"1")
        first = Node(store, NO_PEERS, TIMES)
        await first.wait_for_value(b"1")
        order = SyncSources(
            preferred=(await first.listen(),), fallback=(), is_data_centre_head=True
        )
        head = Node(own_store, order, TIMES)
        await head.wait_for_value(b"1")
        own_store.hangs = True  # Reads of the whole table only.
        own_store.put("k", b"2")
        first.follower.stop()
        await head.wait_for_value(b"2", 1.2)

    asyncio.run(main())
