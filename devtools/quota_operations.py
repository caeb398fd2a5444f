"""Operations on a simulated fleet, shared by the stateful test and the fuzzer.

Operands are small numbers, so that a test can choose and shrink them.
"""

import random
from collections.abc import Callable

from cassiasail._internal.ids import Region
from cassiasail._internal.state.lists import Allowance

from .quota_world import QuotaWorld, SimDaemon, WorldShape, allowance_of, key_named

KEYS = tuple(key_named(name) for name in ("desk", "control", "yield"))
# Small and large bursts, below and above the number of shards, and few permits.
ALLOWANCES = (
    allowance_of(40, 60, 12),
    allowance_of(5, 3, 2),
    allowance_of(120, 30, 40),
    allowance_of(0, 10, 1),
    allowance_of(15, 100, 5),
    allowance_of(60, 7, 9),
)
# With one shard in all, no part of an allowance lies in unused shards, so that any
# excess shows. Two regions with one shard each add borrowing and partitions.
SHAPES = (
    WorldShape(regions=1, data_centres_per_region=1, shards_per_data_centre=1),
    WorldShape(data_centres_per_region=1, shards_per_data_centre=1),
    WorldShape(),
)
# Mean durations of calls, and durations of pauses and outages, in seconds.
HOLDS = (0.02, 0.3, 3.0)
PAUSES = (0.05, 0.3, 0.6, 3.2, 14.0, 20.0)
OUTAGES = (0.5, 3.0, 13.0, 25.0)


class Operations:
    """Loads, faults and changes of a fleet.

    Each method only schedules its effects; ``run`` advances time.
    """

    def __init__(self, seed: int, shape: int) -> None:
        allowances = dict(zip(KEYS, ALLOWANCES, strict=False))
        self.world = QuotaWorld(
            seed=seed, allowance_by_key=allowances, shape=SHAPES[shape]
        )

    def burst(self, daemon: int, key: int, count: int, hold: float) -> None:
        """Send ``count`` calls at once; ``hold`` is their mean duration in seconds."""
        self.world.start_calls(self._daemon(daemon), KEYS[key], count, hold)

    def load(self, daemon: int, key: int, rate: int) -> None:
        """Send calls to one daemon for 5 s."""
        self.world.start_load(self._daemon(daemon), KEYS[key], rate, 5.0, 0.1)

    def load_all(self, key: int, hold: float) -> None:
        """Send more calls than an allowance permits to all daemons for 6 s."""
        rate = 2 * self.world.allowance_by_key[KEYS[key]].rate + 10
        for daemon in self.world.daemons:
            each = rate / len(self.world.daemons)
            self.world.start_load(daemon, KEYS[key], each, 6.0, hold)

    def change(self, key: int, allowance: int) -> None:
        """Replace the allowance of a key by the one numbered ``allowance``."""
        chosen: Allowance = ALLOWANCES[allowance]
        if self.world.allowance_by_key[KEYS[key]] != chosen:
            self.world.change_allowance(KEYS[key], chosen)

    def degrade_network(self, loss: float, duplication: float, delay: float) -> None:
        """Lose, duplicate and delay messages from now on."""
        faults = self.world.faults
        faults.loss, faults.duplication, faults.delay = loss, duplication, delay

    def partition(self, region: int, seconds: float) -> None:
        """Partition a region from the others for ``seconds``."""
        name = Region(f"region-{region}")
        self.world.faults.partitioned_regions.add(name)
        self.world.loop.call_later(
            seconds, self.world.faults.partitioned_regions.discard, name
        )

    def pause(self, daemon: int, seconds: float) -> None:
        """Pause a daemon for ``seconds``; its clock keeps running."""
        paused = self._daemon(daemon)
        paused.paused_until = self.world.loop.time() + seconds

    def crash(self, daemon: int, restart_after: float) -> None:
        """Crash a daemon and restart it under the same id."""
        crashed = self._daemon(daemon)
        if crashed.is_alive:
            crashed.crash()
            self.world.restart_later(crashed, restart_after)

    def crash_data_centre(self, centre: int, restart_after: float) -> None:
        """Crash all daemons of a data centre at once."""
        names = list(self.world.region_of)
        chosen = names[centre % len(names)]
        for number, daemon in enumerate(self.world.daemons):
            if daemon.data_centre == chosen:
                self.crash(number, restart_after)

    def shut_down(self, daemon: int, restart_after: float) -> None:
        """Shut a daemon down gracefully and start it again later."""
        leaving = self._daemon(daemon)
        if not leaving.is_alive:
            return
        self.world.shut_down(leaving)
        loop = self.world.loop
        loop.call_later(restart_after + 5, self._start_if_down, leaving)

    def break_store(self, seconds: float) -> None:
        """Make the store unavailable for ``seconds``."""
        self.world.faults.store_down = True
        self.world.loop.call_later(seconds, self._repair_store)

    def lose_store_responses(self, probability: float, late_effect: float) -> None:
        """Lose responses of writes, and let some writes take effect late."""
        self.world.faults.store_response_loss = probability
        self.world.faults.store_late_effect = late_effect

    def run(self, seconds: float) -> None:
        """Advance time by ``seconds``, then compare with the oracle."""
        self.world.run(seconds)
        self.check()

    def check(self) -> None:
        """Raise ``AssertionError`` if any call exceeded its allowance."""
        for key, oracle in self.world.oracle_by_key.items():
            excess = (oracle.over_rate, oracle.over_in_flight)
            if excess != (0, 0):
                raise AssertionError(
                    f"{key[0]}: {excess[0]} calls over rate and burst, "
                    f"{excess[1]} over in_flight, at {self.world.loop.time():.3f} s"
                )

    def granted_calls(self) -> int:
        """Return the number of calls granted so far."""
        return sum(counts.granted for counts in self.world.counts_by_key.values())

    def heal(self) -> None:
        """End all lasting faults."""
        self.degrade_network(0, 0, 0)
        self.lose_store_responses(0, 0)
        self._repair_store()
        self.world.faults.partitioned_regions.clear()

    def close(self) -> None:
        """Cancel all tasks and close the loop."""
        self.world.close()

    def _daemon(self, number: int) -> SimDaemon:
        daemons = self.world.daemons
        return daemons[number % len(daemons)]

    def _repair_store(self) -> None:
        self.world.faults.store_down = False

    def _start_if_down(self, daemon: SimDaemon) -> None:
        if not daemon.is_alive:
            daemon.start()


def random_step(operations: Operations, rng: random.Random) -> str:
    """Do one random operation and advance time; return the operation's name."""
    daemon, key = rng.randrange(12), rng.randrange(len(KEYS))
    operation_by_name: dict[str, Callable[[], None]] = {
        "burst": lambda: operations.burst(
            daemon, key, rng.choice((1, 5, 40, 120)), rng.choice(HOLDS)
        ),
        "load": lambda: operations.load(daemon, key, rng.choice((2, 20, 200))),
        "load_all": lambda: operations.load_all(key, rng.choice(HOLDS)),
        "change": lambda: operations.change(key, rng.randrange(len(ALLOWANCES))),
        "degrade_network": lambda: operations.degrade_network(
            rng.choice((0, 0, 0.02, 0.3)),
            rng.choice((0, 0, 0.1)),
            rng.choice((0, 0, 0.02, 0.4)),
        ),
        "partition": lambda: operations.partition(
            rng.randrange(2), rng.choice(OUTAGES)
        ),
        "pause": lambda: operations.pause(daemon, rng.choice(PAUSES)),
        "crash": lambda: operations.crash(daemon, rng.choice((0.01, 0.2, 2, 20))),
        "crash_data_centre": lambda: operations.crash_data_centre(
            daemon % 4, rng.choice((0.01, 2, 30))
        ),
        "shut_down": lambda: operations.shut_down(daemon, rng.choice((0, 5))),
        "break_store": lambda: operations.break_store(rng.choice(OUTAGES)),
        "lose_store_responses": lambda: operations.lose_store_responses(
            rng.choice((0, 0, 0.3)), rng.choice((0, 0, 0.2))
        ),
        "heal": operations.heal,
    }
    weights = (8, 6, 8, 0.5, 2, 0.7, 3, 3, 0.4, 2, 0.7, 1, 2)
    name = rng.choices(list(operation_by_name), weights)[0]
    operation_by_name[name]()
    operations.run(rng.choice((0.0, 0.01, 0.1, 0.5, 2.0)))
    return name
