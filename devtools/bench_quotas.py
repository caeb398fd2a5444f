"""Compares fleet-wide allowances with a static split, on virtual time.

The same calls go to ``cassiasaild`` and to the baseline, in which each daemon has a
fixed share of the allowance. There are three loads: ``even`` over all daemons,
``skewed`` (90% of the calls arrive at one tenth of the daemons) and ``moving`` (the
same, but at another tenth of the daemons every 5 s). The bench prints calls over the
allowance, the utilisation (calls granted, as a share of those that a single counter
for the whole fleet would grant), waiting times, control messages and bytes.
"""

import argparse
import asyncio
import json
import random
import statistics
import time
from collections.abc import Iterator
from dataclasses import asdict, dataclass

import cbor2

from cassiasail._internal.protocol.quotas import MAX_COUNT, TokenRequest
from cassiasail._internal.state.lists import Allowance
from cassiasail._internal.state.quotas import QuotaKey, TokenRequestLine, UsageReport

from .quota_oracle import AllowanceOracle
from .quota_world import QuotaWorld, WorldShape, allowance_of, key_named

# Shard owners claim their shards within 2 s and discover each other within 8 s more.
WARM_UP_SECONDS = 12.0
HOT_DAEMONS_MOVE_SECONDS = 5.0
HOT_CALL_SHARE = 0.9
CALL_SECONDS = 0.05
KEYS = tuple(key_named(f"customer-{number}") for number in range(4))


@dataclass(frozen=True, kw_only=True)
class QuotaResult:
    """Figures of one run; the waits, such as ``wait_p99_ms``, are of granted calls."""

    system: str
    load: str
    daemons: int
    offered: int
    granted: int
    over_allowance: int
    utilisation: float
    cached: float
    wait_p50_ms: float
    wait_p99_ms: float
    messages_per_daemon_s: float
    bytes_per_daemon_s: float
    cross_region_bytes_s: float
    messages_per_owner_s: float


@dataclass(frozen=True, slots=True)
class Call:
    """One call: when it arrives, at which daemon, and for which allowance."""

    at: float
    daemon: int
    key: QuotaKey


def generate_calls(
    load: str, rate: float, daemons: int, seconds: float, rng: random.Random
) -> Iterator[Call]:
    """Yield Poisson arrivals in order of time, ``rate`` calls/s for each key."""
    hot_daemons = max(1, daemons // 10)
    at = 0.0
    while at < seconds:
        at += rng.expovariate(rate * len(KEYS))
        daemon = rng.randrange(daemons)
        if load != "even" and rng.random() < HOT_CALL_SHARE:
            moves = int(at / HOT_DAEMONS_MOVE_SECONDS) if load == "moving" else 0
            daemon = (moves * hot_daemons + rng.randrange(hot_daemons)) % daemons
        yield Call(at, daemon, rng.choice(KEYS))


class TokenBucket:
    """Token bucket: the share of one daemon, or a single counter for the fleet."""

    def __init__(self, rate: float, burst: float) -> None:
        self.rate, self.burst, self.level, self.refilled_at = rate, burst, burst, 0.0

    def try_take(self, now: float) -> bool:
        """Refill the bucket up to ``now``, then take one token if there is one."""
        self.level = min(self.burst, self.level + self.rate * (now - self.refilled_at))
        self.refilled_at = now
        if self.level < 1:
            return False
        self.level -= 1
        return True


def run_static_split(
    calls: list[Call], allowance: Allowance, daemons: int, load: str, ideal_grants: int
) -> QuotaResult:
    """Run the baseline: each of n daemons has rate / n and burst / n, at least 1."""
    rate = allowance.rate / daemons
    # A burst below one token would refuse every call.
    burst = max(1.0, allowance.burst / daemons)
    buckets = {
        (daemon, key): TokenBucket(rate, burst)
        for daemon in range(daemons)
        for key in KEYS
    }
    oracle_by_key = {key: _new_oracle(allowance, 0.0) for key in KEYS}
    granted = 0
    for call in calls:
        if buckets[call.daemon, call.key].try_take(call.at):
            granted += 1
            oracle_by_key[call.key].start(call.at)
            oracle_by_key[call.key].end()
    over_allowance = sum(oracle.over_rate for oracle in oracle_by_key.values())
    return QuotaResult(
        system="static split",
        load=load,
        daemons=daemons,
        offered=len(calls),
        granted=granted,
        over_allowance=over_allowance,
        utilisation=granted / ideal_grants,
        cached=1.0,
        wait_p50_ms=0.0,
        wait_p99_ms=0.0,
        messages_per_daemon_s=0.0,
        bytes_per_daemon_s=0.0,
        cross_region_bytes_s=0.0,
        messages_per_owner_s=0.0,
    )


def run_cassiasail(
    calls: list[Call],
    allowance: Allowance,
    shape: WorldShape,
    load: str,
    ideal_grants: int,
    seconds: float,
) -> QuotaResult:
    """Run a simulated fleet of ``cassiasaild`` daemons on the same calls."""
    world = QuotaWorld(
        seed=1, allowance_by_key=dict.fromkeys(KEYS, allowance), shape=shape
    )
    world.run(WARM_UP_SECONDS)
    network = world.network
    for counter in (network.messages, network.bytes):
        counter.clear()
    network.messages_by_receiver.clear()
    asyncio.set_event_loop(world.loop)
    world.loop.run_until_complete(_replay_calls(world, calls))
    world.run(0.3)
    daemons = len(world.daemons)
    owners = {daemon.id for daemon in world.daemons if daemon.leases.shard_by_id}
    messages_to_owners = sum(network.messages_by_receiver[owner] for owner in owners)
    counts = list(world.counts_by_key.values())
    granted = sum(count.granted for count in counts)
    waits = sorted(1000 * wait for count in counts for wait in count.wait_seconds) or [
        0.0
    ]
    row = QuotaResult(
        system="cassiasail",
        load=load,
        daemons=daemons,
        offered=len(calls),
        granted=granted,
        over_allowance=world.violations(),
        utilisation=granted / ideal_grants,
        cached=sum(count.cached for count in counts) / max(1, granted),
        wait_p50_ms=statistics.median(waits),
        wait_p99_ms=waits[int(0.99 * (len(waits) - 1))],
        messages_per_daemon_s=sum(network.messages.values()) / daemons / seconds,
        bytes_per_daemon_s=sum(network.bytes.values()) / daemons / seconds,
        cross_region_bytes_s=network.bytes["cross"] / seconds,
        messages_per_owner_s=messages_to_owners / len(owners) / seconds,
    )
    world.close()
    return row


async def _replay_calls(world: QuotaWorld, calls: list[Call]) -> None:
    began = world.loop.time()
    for call in calls:
        pause = began + call.at - world.loop.time()
        if pause > 0:
            await asyncio.sleep(pause)
        world.start_calls(world.daemons[call.daemon], call.key, 1, CALL_SECONDS)


def _new_oracle(allowance: Allowance, now: float) -> AllowanceOracle:
    return AllowanceOracle(
        allowance=allowance, level=allowance.burst, now=now, permit_hold_seconds=0.0
    )


def count_ideal_grants(calls: list[Call], allowance: Allowance) -> int:
    """Return how many calls a single counter for the whole fleet would grant."""
    buckets = {key: TokenBucket(allowance.rate, allowance.burst) for key in KEYS}
    return sum(buckets[call.key].try_take(call.at) for call in calls)


def bench(
    daemons_per_data_centre: int, seconds: float, rate_per_daemon: float, demand: float
) -> Iterator[QuotaResult]:
    """Yield the rows of all loads for four data centres.

    The allowance of each key is ``rate_per_daemon`` calls/s times the number of
    daemons; its calls arrive at ``demand`` times that rate.
    """
    shape = WorldShape(
        daemons_per_data_centre=daemons_per_data_centre,
        shards_per_data_centre=4,
        term=3600.0,
        max_deadline=10.0,
        confirm_interval=60.0,
        start_jitter=2.0,
    )
    daemons = 4 * daemons_per_data_centre
    rate = rate_per_daemon * daemons
    allowance = allowance_of(rate, int(rate), int(10 * rate))
    for load in ("even", "skewed", "moving"):
        rng = random.Random(1)
        calls = list(generate_calls(load, demand * rate, daemons, seconds, rng))
        ideal_grants = count_ideal_grants(calls, allowance)
        yield run_cassiasail(calls, allowance, shape, load, ideal_grants, seconds)
        yield run_static_split(calls, allowance, daemons, load, ideal_grants)


def measure_acquire_and_release(rounds: int = 100_000) -> tuple[float, float]:
    """Return the mean microseconds of ``try_acquire`` and of ``release_permit``.

    All tokens and permits are cached, so no token request is sent.
    """
    allowance = allowance_of(1e9, 10**9, 10**6)
    shape = WorldShape(regions=1, data_centres_per_region=1, shards_per_data_centre=1)
    world = QuotaWorld(seed=1, allowance_by_key={KEYS[0]: allowance}, shape=shape)
    world.run(WARM_UP_SECONDS)
    exchange, clock = world.daemons[0].exchange, world.daemons[0].clock
    key, deadline = KEYS[0], clock.now() + 1
    # Fills the cache directly: prefetching so many tokens would take a real load.
    cache_entry = exchange._cache.get_or_add(key, allowance)
    exchange._cache.add_grant(
        cache_entry,
        serial=10**6,
        shard=world.shards[0],
        tokens=rounds,
        permits=rounds,
        sent_at=clock.now(),
    )
    began = time.perf_counter()
    grants = [exchange.try_acquire(*key, allowance, deadline) for _ in range(rounds)]
    acquired = time.perf_counter()
    for grant in grants:
        assert grant is not None
        exchange.release_permit(grant)
    released = time.perf_counter()
    world.close()
    return 1e6 * (acquired - began) / rounds, 1e6 * (released - acquired) / rounds


def measure_handle(rounds: int = 5000) -> float:
    """Return the microseconds of CPU that a shard owner spends on a token request.

    Decoding and encoding are included. The token request has two lines and two usage
    reports, about as many as token requests carry under even load.
    """
    allowance = allowance_of(1e9, 10**9, 10**6)
    shape = WorldShape(regions=1, data_centres_per_region=1, shards_per_data_centre=1)
    world = QuotaWorld(seed=1, allowance_by_key={KEYS[0]: allowance}, shape=shape)
    world.run(WARM_UP_SECONDS)
    daemon = next(d for d in world.daemons if d.leases.shard_by_id)
    shard = next(iter(daemon.leases.shard_by_id))
    encoded_requests = []
    for number in range(rounds):
        serials = range(2 * number, 2 * number + 2)
        request = TokenRequest(
            requester="10.0.0.9:7000/1",
            shard=shard,
            forwarded=False,
            permit_ms=int(shape.max_deadline * 1000),
            directory_digest=MAX_COUNT,
            lines=tuple(TokenRequestLine("", s, KEYS[0], 1, 1, 1, 0) for s in serials),
            reports=tuple(
                UsageReport("", max(0, s - 2), shard, 2, 0, 1) for s in serials
            ),
        )
        encoded_requests.append(cbor2.dumps(request.to_wire()))

    async def handle_all() -> float:
        began = time.process_time()
        for encoded in encoded_requests:
            message = TokenRequest.from_wire(cbor2.loads(encoded))
            cbor2.dumps((await daemon.service.handle(message)).to_wire())
        return time.process_time() - began

    elapsed = world.loop.run_until_complete(handle_all())
    world.close()
    return 1e6 * elapsed / rounds


def main() -> None:
    """Run the bench; exits with 1 if calls over the allowance were granted."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", default="3,13", help="daemons per data centre")
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--rate-per-daemon", type=float, default=4.0)
    parser.add_argument("--demand", type=float, default=1.2, help="of the allowance")
    parser.add_argument("--json", action="store_true")
    options = parser.parse_args()
    rows: list[QuotaResult] = []
    for size in (int(text) for text in options.sizes.split(",")):
        rows += bench(size, options.seconds, options.rate_per_daemon, options.demand)
    acquire_us, release_us = measure_acquire_and_release()
    handle_us = measure_handle()
    if options.json:
        result = {
            "try_acquire_us": acquire_us,
            "finished_us": release_us,
            "handle_us": handle_us,
            "rows": [asdict(row) for row in rows],
        }
        print(json.dumps(result, indent=1))
        return
    print_table(rows)
    print(f"try_acquire {acquire_us:.2f} us, release_permit {release_us:.2f} us")
    print(f"a shard owner spends {handle_us:.0f} us on a token request")
    if any(row.over_allowance for row in rows if row.system == "cassiasail"):
        raise SystemExit("calls over the allowance: see the column 'over'")


def print_table(rows: list[QuotaResult]) -> None:
    """Print a table with a line for each run."""
    print(
        "system        load    daemons  offered  granted  over   util cached "
        "p50 ms p99 ms  msg/d/s   B/d/s  cross B/s  msg/owner/s"
    )
    for row in rows:
        print(
            f"{row.system:13} {row.load:7} {row.daemons:7} {row.offered:8} "
            f"{row.granted:8} {row.over_allowance:5} {row.utilisation:6.3f} "
            f"{row.cached:6.3f} {row.wait_p50_ms:6.2f} {row.wait_p99_ms:6.1f} "
            f"{row.messages_per_daemon_s:8.1f} {row.bytes_per_daemon_s:7.0f} "
            f"{row.cross_region_bytes_s:10.0f} {row.messages_per_owner_s:12.1f}"
        )


if __name__ == "__main__":
    main()
