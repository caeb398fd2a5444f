"""Measures control traffic and processing time of a simulated, in-memory fleet.

``python -m devtools.bench_control`` prints, for 13, 52, 104 and 208 daemons, the
bytes sent per configuration change and the bytes per second of an idle daemon. Two
baselines are computed with the same codecs: every daemon polls the store, or the root
of the relay tree pushes the whole configuration to every daemon. The bench also prints
the traffic that follows daemon failures, and the processing time per delta and per
member record. Run it in the repository root.

A message counts as its encoded size plus four bytes of websocket framing. Figures per
daemon count each message twice, for its sender and for its receiver.
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

DAEMON_COUNTS = (13, 52, 104, 208)
CHANGE_COUNT = 10
IDLE_SECONDS = 30.0
POLL_SECONDS = 0.5
# Customers in the configuration that is changed; about those of a small operator.
CUSTOMER_COUNT = 300


def build_lists() -> Lists:
    """Return a configuration of services, routes, plans, allowances and customers."""
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
    for customer in range(CUSTOMER_COUNT):
        rows[f"customer/customer-{customer}"] = {
            "plan": f"plan-{customer % 4}",
            "contact": f"desk-{customer}@example.org",
        }
    return lists_from_rows(rows)


def start_converged_fleet(daemons: int, seed: int) -> Network:
    """Start a fleet; return it once all daemons apply the configuration."""
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


def bytes_by_daemon(net: Network) -> list[int]:
    """Return the total bytes sent and received, one figure for each daemon."""
    return [node.sent_bytes + node.received_bytes for node in net.nodes]


def measure_idle(net: Network) -> tuple[float, float, float, float, float]:
    """Measure a fleet without changes for ``IDLE_SECONDS``.

    Returns the mean and the highest bytes/s of a daemon, the bytes/s of the fleet
    across regions, and the mean and the highest share of a core that a daemon uses.
    The share covers the control plane and the codecs, not the transport.
    """
    before, cross_region_before = bytes_by_daemon(net), net.region_bytes
    busy_before = [node.busy_seconds for node in net.nodes]
    net.run_for(IDLE_SECONDS)
    shares = [
        (node.busy_seconds - start) / IDLE_SECONDS
        for start, node in zip(busy_before, net.nodes, strict=True)
    ]
    rates = [
        (after - start) / IDLE_SECONDS
        for start, after in zip(before, bytes_by_daemon(net), strict=True)
    ]
    return (
        sum(rates) / len(rates),
        max(rates),
        (net.region_bytes - cross_region_before) / IDLE_SECONDS,
        sum(shares) / len(shares),
        max(shares),
    )


def measure_changes(net: Network) -> tuple[float, float, float]:
    """Commit changes one by one and measure their distribution.

    Returns the bytes per change, those across regions, and the seconds until the
    last daemon applied the slowest change. Only messages that distribute a
    configuration count: deltas, snapshots, pulls, confirmations, refusals and status
    reports.
    """
    distribution_types = (
        "Deltas",
        "SnapshotMessage",
        "VersionInForce",
        "ConfigPull",
        "ConfigRefused",
        "StatusReport",
    )
    before = sum(net.bytes_by_type[kind] for kind in distribution_types)
    cross_region_before = sum(
        net.region_bytes_by_type[kind] for kind in distribution_types
    )
    slowest = 0.0
    for _ in range(CHANGE_COUNT):
        started = net.clock.now()
        net.commit()
        while any(net.version_faults()):
            net.run_for(0.01)
        slowest = max(slowest, net.clock.now() - started)
        net.run_for(4.0)
    total = sum(net.bytes_by_type[kind] for kind in distribution_types) - before
    cross_region = (
        sum(net.region_bytes_by_type[kind] for kind in distribution_types)
        - cross_region_before
    )
    return total / CHANGE_COUNT, cross_region / CHANGE_COUNT, slowest


def describe_gossip_baseline(
    net: Network, seed: int, round_seconds: float = 1.0
) -> str:
    """Return the computed cost of distributing changes by gossip alone, as text.

    In every round each daemon compares versions and digests with one random member,
    and the daemon with the newer version sends the delta.
    """
    rng = random.Random(seed)
    control = net.running[0].control
    assert control is not None
    digests = m.MemberDigests(control.versions.version, control.table.digests())
    comparison_bytes = 2 * (len(m.encode(digests)) + FRAME_BYTES)
    most_rounds = 0
    for _ in range(CHANGE_COUNT):
        updated_daemons, rounds = {0, 1}, 0
        while len(updated_daemons) < len(net.nodes):
            rounds += 1
            for daemon in range(len(net.nodes)):
                other = rng.randrange(len(net.nodes))
                if daemon in updated_daemons or other in updated_daemons:
                    updated_daemons |= {daemon, other}
        most_rounds = max(most_rounds, rounds)
    daemons = len(net.nodes)
    cross_region_share = sum(
        left.region != right.region for left in net.nodes for right in net.nodes
    ) / (daemons * daemons)
    return (
        f"gossip alone every {round_seconds:.0f} s: idle "
        f"{2 * comparison_bytes / round_seconds:.0f} bytes/s per daemon, across "
        f"regions {comparison_bytes * daemons * cross_region_share / round_seconds:.0f}"
        f", slowest {most_rounds * round_seconds:.0f} s"
    )


def measure_traffic(daemons: int, seed: int) -> str:
    """Return one line: bytes per change and of an idle daemon, and the baselines."""
    net = start_converged_fleet(daemons, seed)
    total, cross_region, slowest = measure_changes(net)
    idle_mean, idle_max, idle_cross_region, core_mean, core_max = measure_idle(net)
    costs = poll_and_push_costs(net)
    return (
        f"{daemons:4} daemons: change {total:.0f} bytes ("
        f"{total / costs['push_total']:.4f} of push {costs['push_total']:.0f}, "
        f"{total / costs['poll_change']:.2f} of poll {costs['poll_change']:.0f}), "
        f"across regions {cross_region:.0f} "
        f"({cross_region / costs['push_region']:.4f} of push "
        f"{costs['push_region']:.0f}), "
        f"slowest {slowest:.2f} s; idle {idle_mean:.0f} bytes/s per daemon, "
        f"highest {idle_max:.0f}, across regions {idle_cross_region:.0f}, "
        f"{core_mean:.2%} of a core, highest {core_max:.2%}; poll idle "
        f"{costs['poll_idle']:.0f} and {costs['poll_reads']:.0f} reads/s; "
        f"{describe_gossip_baseline(net, seed)}"
    )


def poll_and_push_costs(net: Network) -> dict[str, float]:
    """Return the computed cost of the baselines for the newest configuration.

    ``poll_``: every daemon reads ``config/head`` from the store every 500 ms and
    fetches the delta object of each change. ``push_``: one sender sends a snapshot of
    the whole configuration to every daemon at each change. Figures are bytes per
    change, but ``poll_idle`` is bytes/s of a daemon and ``poll_reads`` is reads/s of
    the fleet.
    """
    head = net.store.rows[listcodec.HEAD_KEY].value
    in_force = VersionedLists()
    newest = net.committed[net.newest]
    old = net.committed[net.newest - 1]
    delta = diff(old, newest, base=Version(net.newest - 1), version=Version(net.newest))
    in_force.version, in_force.lists = Version(net.newest), newest
    snapshot_bytes = len(m.encode(m.SnapshotMessage(in_force.snapshot()))) + FRAME_BYTES
    delta_bytes = len(listcodec.encode_delta(delta))
    request_bytes = len(listcodec.HEAD_KEY) + FRAME_BYTES
    poll_bytes = request_bytes + len(cbor2.dumps(head)) + FRAME_BYTES
    daemons = len(net.nodes)
    remote_daemons = sum(node.region != net.store_region for node in net.nodes)
    return {
        "push_total": snapshot_bytes * daemons,
        "push_region": snapshot_bytes * remote_daemons,
        "poll_idle": poll_bytes / POLL_SECONDS,
        "poll_change": (delta_bytes + request_bytes) * daemons,
        "poll_reads": daemons / POLL_SECONDS,
    }


def measure_repair(
    daemons: int, failures: int, seed: int, *, close_connections: bool
) -> str:
    """Return one line: the traffic that ``failures`` simultaneous failures cause.

    Periodic messages are left out, and the traffic of an equally long idle period is
    subtracted. ``close_connections`` closes the connections of the failed daemons at
    once, as when a process ends; otherwise they stay open without a reply, as when a
    VM fails.
    """
    net = start_converged_fleet(daemons, seed)
    periodic_types = ("Ping", "Pong", "HeadHeartbeats")
    window_seconds = 20.0

    def traffic() -> tuple[int, int, int]:
        count = sum(
            n for kind, n in net.count_by_type.items() if kind not in periodic_types
        )
        size = sum(
            n for kind, n in net.bytes_by_type.items() if kind not in periodic_types
        )
        return count, size, net.dials

    before_idle = traffic()
    net.run_for(window_seconds)
    idle_traffic = [b - a for a, b in zip(before_idle, traffic(), strict=True)]
    before_failures = traffic()
    for node in random.Random(seed).sample(net.running, failures):
        net.kill(node, close_connections=close_connections)
    _, seconds = net.settle(30.0)
    net.run_for(window_seconds - seconds)
    failure_traffic = [b - a for a, b in zip(before_failures, traffic(), strict=True)]
    messages, size, dials = (
        max(0, s - i) for s, i in zip(failure_traffic, idle_traffic, strict=True)
    )
    table_bytes = len(m.encode(m.Members(tuple(records_of_first_daemon(net)))))
    survivors = daemons - failures
    return (
        f"{daemons:4} daemons, {failures:3} "
        f"{'processes' if close_connections else 'VMs'} failed: "
        f"{messages:6} messages "
        f"({messages / failures / survivors:5.2f} per failure and survivor), "
        f"{size:8} bytes, {dials:4} connections, {seconds:4.1f} s; "
        f"full table to every survivor: {table_bytes * survivors} bytes"
    )


def records_of_first_daemon(net: Network) -> list[MemberRecord]:
    """Return the member records in the table of the first running daemon."""
    control = net.running[0].control
    assert control is not None
    return list(control.table.living())


def measure_delta_us(key: str, fields: dict[str, object]) -> float:
    """Return the microseconds to decode, check, compile and apply a one-row delta."""
    lists = build_lists()
    base = VersionedLists()
    base.apply_delta(diff(Lists(), lists, version=Version(1)))
    new = lists_from_rows({**lists.rows_by_key, key: fields})
    delta = diff(lists, new, base=Version(1), version=Version(2))
    encoded = m.encode(m.Deltas((delta,)))
    rounds = 200
    copies = [VersionedLists() for _ in range(rounds)]
    for copy in copies:
        copy.version, copy.lists, copy.table = base.version, base.lists, base.table
    started = time.perf_counter()
    for copy in copies:
        message = m.decode(encoded)
        assert isinstance(message, m.Deltas)
        copy.apply_deltas(message.deltas)
    assert all(copy.version == 2 for copy in copies)
    return (time.perf_counter() - started) / rounds * 1e6


def measure_processing() -> str:
    """Return one line: the time per delta and per record, and the bytes per record."""
    customer_us = measure_delta_us(
        "customer/customer-1", {"plan": "plan-2", "contact": ""}
    )
    plan_us = measure_delta_us("plan/plan-9", {})
    data = m.encode(m.Members(tuple(example_record(i) for i in range(2800))))
    gc.collect()
    tracemalloc.start()
    decode_into_table(data)
    table = decode_into_table(data)
    gc.collect()
    record_bytes = tracemalloc.get_traced_memory()[0] / len(table)
    tracemalloc.stop()
    started = time.perf_counter()
    decode_into_table(data)
    merge_us = (time.perf_counter() - started) / len(table) * 1e6
    return (
        f"decode, check, compile and apply a delta to {len(build_lists().rows_by_key)} "
        f"rows: {customer_us:.0f} us for a customer, {plan_us:.0f} us for a plan; "
        f"decode and merge a record: {merge_us:.1f} us; {record_bytes:.0f} bytes in "
        f"memory and {len(data) / len(table):.0f} on the wire per record of "
        f"{len(table)}"
    )


def decode_into_table(data: bytes) -> MemberTable:
    """Decode a ``Members`` message and merge its records into a new table."""
    table = MemberTable(own_record=example_record(0))
    message = m.decode(data)
    assert isinstance(message, m.Members)
    for record in message.records:
        table.merge(record, now=0.0)
    return table


def example_record(number: int) -> MemberRecord:
    """Return the member record of a daemon with one ready target."""
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
    """Run the selected parts and print their figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", type=int, nargs="*", default=list(DAEMON_COUNTS))
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
                for close_connections in (True, False):
                    line = measure_repair(
                        daemons,
                        failures,
                        options.seed,
                        close_connections=close_connections,
                    )
                    print(line, flush=True)
    if "processing" in options.parts:
        print(measure_processing())


if __name__ == "__main__":
    main()
