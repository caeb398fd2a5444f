"""Control bytes and processing time of an in-memory fleet.

``python -m devtools.bench_control`` prints, for 13, 52, 104 and 208 daemons, the
bytes per change and the idle bytes per daemon, against two baselines computed with
the same codecs: every daemon polls the store, and the root pushes the whole
configuration to every daemon. It also prints the repair after failures and the
processing time per delta and per record. Run it in the repository root.

Bytes are those of encoded messages plus four bytes of websocket framing, counted
once for the sender and once for the receiver where a figure is per daemon.
"""

import argparse
import gc
import random
import time
import tracemalloc
from dataclasses import replace

import cbor2
from absl import logging

from cassiasail._internal.coordination.links import ControlOptions
from cassiasail._internal.ids import (
    DaemonId,
    DataCentre,
    Region,
    ServiceName,
    TargetId,
    Version,
)
from cassiasail._internal.protocol import messages as m
from cassiasail._internal.state import listcodec
from cassiasail._internal.state.lists import Lists, diff, lists_from_rows
from cassiasail._internal.state.members import (
    Endpoint,
    EndpointState,
    MemberRecord,
    MemberTable,
)
from cassiasail._internal.state.versions import VersionedLists
from tests.lib.fleet_faults import CENTRES
from tests.lib.network import FRAME_BYTES, Network

SIZES = (13, 52, 104, 208)
CHANGES = 10
IDLE_SECONDS = 30.0
POLL_SECONDS = 0.5
# Customers of the lists that are changed; about the size of a small operator.
CUSTOMERS = 300


def build_lists() -> Lists:
    """Return lists with plans, routes, allowances and customers."""
    rows: dict[str, dict[str, object]] = {}
    for service in range(3):
        rows[f"service/svc-{service}"] = {}
        rows[f"route/svc-{service} /"] = {
            "class": "lookup",
            "deadline": 2.0,
            "idempotent": "auto",
            "idempotency_key": "optional",
        }
    for plan in range(4):
        rows[f"plan/plan-{plan}"] = {}
        for service in range(3):
            rows[f"allowance/plan-{plan} svc-{service} /"] = {
                "rate": 50.0,
                "burst": 100,
                "in_flight": 20,
                "max_body": 65536,
            }
    for customer in range(CUSTOMERS):
        rows[f"customer/customer-{customer}"] = {
            "plan": f"plan-{customer % 4}",
            "contact": f"desk-{customer}@example.org",
        }
    return lists_from_rows(rows)


def start_fleet(daemons: int, seed: int) -> Network:
    """Return a converged fleet with the lists in force."""
    net = Network(seed=seed, daemons=daemons, centres=CENTRES, options=ControlOptions())
    net.committed[0] = build_lists()
    net.commit()
    for number, node in enumerate(net.nodes):
        net.start(node)
        assert node.control is not None
        target = Endpoint(
            service=ServiceName(f"svc-{number % 3}"),
            target_id=TargetId(f"t{number}"),
            state=EndpointState.READY,
            slots=9,
            start_time_ms=1_700_000_000_000 + number,
        )
        node.control.set_endpoints((target,))
    net.settle(60.0, versions=60.0)
    net.run_for(15.0)
    return net


def control_bytes(net: Network) -> list[int]:
    """Return the bytes sent and received by each daemon."""
    return [node.sent_bytes + node.received_bytes for node in net.nodes]


def measure_idle(net: Network) -> tuple[float, float, float, float, float]:
    """Return mean and highest bytes/s per daemon, bytes/s across regions, and mean
    and highest share of a core.

    The share covers the control plane and the codecs, not the transport.
    """
    before, region = control_bytes(net), net.region_bytes
    busy = [node.busy_seconds for node in net.nodes]
    net.run_for(IDLE_SECONDS)
    shares = [
        (node.busy_seconds - start) / IDLE_SECONDS
        for start, node in zip(busy, net.nodes, strict=True)
    ]
    rates = [
        (after - start) / IDLE_SECONDS
        for start, after in zip(before, control_bytes(net), strict=True)
    ]
    return (
        sum(rates) / len(rates),
        max(rates),
        (net.region_bytes - region) / IDLE_SECONDS,
        sum(shares) / len(shares),
        max(shares),
    )


def measure_changes(net: Network) -> tuple[float, float, float]:
    """Return bytes and region bytes per change, and the slowest convergence.

    Only messages of the distribution are counted: deltas, snapshots,
    confirmations, refusals and reports.
    """
    kinds = (
        "Deltas",
        "SnapshotMessage",
        "VersionInForce",
        "ConfigPull",
        "ConfigRefused",
        "StatusReport",
    )
    before = sum(net.bytes_by_type[kind] for kind in kinds)
    region = sum(net.region_bytes_by_type[kind] for kind in kinds)
    slowest = 0.0
    for _ in range(CHANGES):
        started = net.clock.now()
        net.commit()
        while any(net.version_faults()):
            net.run_for(0.01)
        slowest = max(slowest, net.clock.now() - started)
        net.run_for(4.0)
    total = sum(net.bytes_by_type[kind] for kind in kinds) - before
    crossed = sum(net.region_bytes_by_type[kind] for kind in kinds) - region
    return total / CHANGES, crossed / CHANGES, slowest


def gossip_baseline(net: Network, seed: int, round_seconds: float = 1.0) -> str:
    """Return what gossip alone would cost: every round each daemon compares versions
    and digests with one random member, and the newer end sends the delta."""
    rng = random.Random(seed)
    control = net.running[0].control
    assert control is not None
    digests = m.MemberDigests(control.versions.version, control.table.digests())
    compare = 2 * (len(m.encode(digests)) + FRAME_BYTES)
    slowest = 0
    for _ in range(CHANGES):
        holders, rounds = {0, 1}, 0
        while len(holders) < len(net.nodes):
            rounds += 1
            for daemon in range(len(net.nodes)):
                other = rng.randrange(len(net.nodes))
                if daemon in holders or other in holders:
                    holders |= {daemon, other}
        slowest = max(slowest, rounds)
    daemons = len(net.nodes)
    crossing = sum(
        left.region != right.region for left in net.nodes for right in net.nodes
    ) / (daemons * daemons)
    return (
        f"gossip alone every {round_seconds:.0f} s: idle "
        f"{2 * compare / round_seconds:.0f} bytes/s per daemon, across regions "
        f"{compare * daemons * crossing / round_seconds:.0f}, slowest "
        f"{slowest * round_seconds:.0f} s"
    )


def measure_traffic(daemons: int, seed: int) -> str:
    """Return bytes per change and idle bytes against the baselines."""
    net = start_fleet(daemons, seed)
    total, region, slowest = measure_changes(net)
    mean, highest, region_idle, share, top_share = measure_idle(net)
    base = baselines(net)
    return (
        f"{daemons:4} daemons: change {total:.0f} bytes ("
        f"{total / base['push_total']:.4f} of push {base['push_total']:.0f}, "
        f"{total / base['poll_change']:.2f} of poll {base['poll_change']:.0f}), "
        f"across regions {region:.0f} "
        f"({region / base['push_region']:.4f} of push {base['push_region']:.0f}), "
        f"slowest {slowest:.2f} s; idle {mean:.0f} bytes/s per daemon, "
        f"highest {highest:.0f}, across regions {region_idle:.0f}, {share:.2%} of a "
        f"core, highest {top_share:.2%}; poll idle "
        f"{base['poll_idle']:.0f} and {base['poll_reads']:.0f} reads/s; "
        f"{gossip_baseline(net, seed)}"
    )


def baselines(net: Network) -> dict[str, float]:
    """Return what polling and full push would cost in the present configuration.

    Polling: every daemon reads ``config/head`` every 500 ms and fetches the delta
    object of a change. Full push: one sender sends the snapshot to every daemon.
    """
    head = net.store.rows[listcodec.HEAD_KEY].value
    held = VersionedLists()
    newest = net.committed[net.newest]
    old = net.committed[net.newest - 1]
    delta = diff(old, newest, base=Version(net.newest - 1), version=Version(net.newest))
    held.version, held.lists = Version(net.newest), newest
    snapshot = len(m.encode(m.SnapshotMessage(held.snapshot()))) + FRAME_BYTES
    delta_size = len(listcodec.encode_delta(delta))
    request = len(listcodec.HEAD_KEY) + FRAME_BYTES
    poll = request + len(cbor2.dumps(head)) + FRAME_BYTES
    daemons = len(net.nodes)
    remote = sum(node.region != net.store_region for node in net.nodes)
    return {
        "push_total": snapshot * daemons,
        "push_region": snapshot * remote,
        "poll_idle": poll / POLL_SECONDS,
        "poll_change": (delta_size + request) * daemons,
        "poll_reads": daemons / POLL_SECONDS,
    }


def measure_repair(daemons: int, failures: int, seed: int, *, notice: bool) -> str:
    """Return the messages that ``failures`` simultaneous losses cause."""
    net = start_fleet(daemons, seed)
    quiet = ("Ping", "Pong", "HeadHeartbeats")
    window = 20.0

    def repair() -> tuple[int, int, int]:
        count = sum(n for kind, n in net.count_by_type.items() if kind not in quiet)
        size = sum(n for kind, n in net.bytes_by_type.items() if kind not in quiet)
        return count, size, net.dials

    idle_from = repair()
    net.run_for(window)
    idle = [b - a for a, b in zip(idle_from, repair(), strict=True)]
    start = repair()
    for node in random.Random(seed).sample(net.running, failures):
        net.kill(node, close_connections=notice)
    _, seconds = net.settle(30.0)
    net.run_for(window - seconds)
    spent = [b - a for a, b in zip(start, repair(), strict=True)]
    messages, size, dials = (max(0, s - i) for s, i in zip(spent, idle, strict=True))
    full = len(m.encode(m.Members(tuple(all_records(net)))))
    survivors = daemons - failures
    return (
        f"{daemons:4} daemons, {failures:3} {'processes' if notice else 'VMs'} lost: "
        f"{messages:6} messages "
        f"({messages / failures / survivors:5.2f} per failure and survivor), "
        f"{size:8} bytes, {dials:4} connections, {seconds:4.1f} s; "
        f"full table to every survivor: {full * survivors} bytes"
    )


def all_records(net: Network) -> list[MemberRecord]:
    """Return all records that the first running daemon holds."""
    control = net.running[0].control
    assert control is not None
    return list(control.table.living())


def time_delta(key: str, fields: dict[str, object]) -> float:
    """Return microseconds to decode, check, compile and apply a change of one row."""
    lists = build_lists()
    old = VersionedLists()
    old.apply_delta(diff(Lists(), lists, version=Version(1)))
    new = lists_from_rows({**lists.rows_by_key, key: fields})
    delta = diff(lists, new, base=Version(1), version=Version(2))
    encoded = m.encode(m.Deltas((delta,)))
    rounds = 200
    holders = [VersionedLists() for _ in range(rounds)]
    for holder in holders:
        holder.version, holder.lists, holder.table = old.version, old.lists, old.table
    started = time.perf_counter()
    for holder in holders:
        message = m.decode(encoded)
        assert isinstance(message, m.Deltas)
        holder.apply_deltas(message.deltas)
    assert all(holder.version == 2 for holder in holders)
    return (time.perf_counter() - started) / rounds * 1e6


def measure_processing() -> str:
    """Return microseconds per delta and per record, and bytes per record."""
    customer = time_delta("customer/customer-1", {"plan": "plan-2", "contact": ""})
    plan = time_delta("plan/plan-9", {})
    data = m.encode(m.Members(tuple(example_record(i) for i in range(2800))))
    gc.collect()
    tracemalloc.start()
    fill_table(data)
    table = fill_table(data)
    gc.collect()
    size = tracemalloc.get_traced_memory()[0] / len(table)
    tracemalloc.stop()
    started = time.perf_counter()
    fill_table(data)
    per_record = (time.perf_counter() - started) / len(table) * 1e6
    return (
        f"decode, check, compile and apply a delta to {len(build_lists().rows_by_key)} "
        f"rows: {customer:.0f} us for a customer, {plan:.0f} us for a plan; decode and "
        f"merge a record: {per_record:.1f} us; {size:.0f} bytes in memory and "
        f"{len(data) / len(table):.0f} on the wire per record of {len(table)}"
    )


def fill_table(data: bytes) -> MemberTable:
    """Return a table with the records of an encoded message."""
    table = MemberTable(own_record=example_record(0))
    message = m.decode(data)
    assert isinstance(message, m.Members)
    for record in message.records:
        table.merge(record, now=0.0)
    return table


def example_record(number: int) -> MemberRecord:
    """Return a record of a daemon with one target."""
    host = f"10.1.{number // 250}.{number % 250}"
    record = MemberRecord(
        id=DaemonId(f"{host}:7000"),
        incarnation=1_700_000_000_000 + number,
        sequence=number % 7,
        region=Region(f"region-{number % 5}"),
        data_centre=DataCentre(f"region-{number % 5}-{number % 11}"),
        peer_addr=f"{host}:7000",
        http_addr=f"{host}:8000",
        admin_addr=f"{host}:9000",
    )
    target = Endpoint(
        service=ServiceName(f"svc-{number % 130}"),
        target_id=TargetId(f"t{number}"),
        state=EndpointState.READY,
        slots=9,
        start_time_ms=1_700_000_000_000 + number,
    )
    return replace(record, endpoints=(target,))


def main() -> None:
    """Measure and print."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", type=int, nargs="*", default=list(SIZES))
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--parts",
        nargs="*",
        choices=("traffic", "repair", "processing"),
        default=["traffic", "repair", "processing"],
    )
    options = parser.parse_args()
    logging.set_verbosity(logging.FATAL)
    if "traffic" in options.parts:
        for daemons in options.sizes:
            print(measure_traffic(daemons, options.seed), flush=True)
    if "repair" in options.parts:
        for daemons in options.sizes:
            for failures in (1, 4, round(0.3 * daemons)):
                for notice in (True, False):
                    line = measure_repair(
                        daemons, failures, options.seed, notice=notice
                    )
                    print(line, flush=True)
    if "processing" in options.parts:
        print(measure_processing())


if __name__ == "__main__":
    main()
