"""Operations on a simulated fleet, shared by the stateful test and the fuzzer.

Operands are small numbers, so that a test can choose and shrink them.
"""

import random
from collections.abc import Callable

from cassiasail._internal.ids import Region
from cassiasail._internal.state.lists import Allowance

from .quota_world import SimDaemon, World, WorldShape, allowance_of, key_named

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
# With one shard, the oracle has no slack from shards that are not in use; with two
# regions and one shard each, borrowing and cuts come in.
SHAPES = (
    WorldShape(regions=1, data_centres_per_region=1, shards_per_data_centre=1),
    WorldShape(data_centres_per_region=1, shards_per_data_centre=1),
    WorldShape(),
)
HOLDS = (0.02, 0.3, 3.0)
PAUSES = (0.05, 0.3, 0.6, 3.2, 14.0, 20.0)
OUTAGES = (0.5, 3.0, 13.0, 25.0)


class Operations:
    """What may happen to a fleet; every method returns at once except ``run``."""

    def __init__(self, seed: int, shape: int) -> None:
        allowances = dict(zip(KEYS, ALLOWANCES, strict=False))
        self.world = World(seed=seed, allowance_by_key=allowances, shape=SHAPES[shape])

    def burst(self, daemon: int, key: int, count: int, hold: float) -> None:
        """Send many calls at once to one daemon; ``hold`` is their mean length."""
        self.world.start_calls(self._daemon(daemon), KEYS[key], count, hold)

    def load(self, daemon: int, key: int, rate: int) -> None:
        """Send calls to one daemon for 5 s."""
        self.world.start_load(self._daemon(daemon), KEYS[key], rate, 5.0, 0.1)

    def load_all(self, key: int, hold: float) -> None:
        """Use up an allowance at all daemons for 6 s, so that excess shows."""
        rate = 2 * self.world.allowance_by_key[KEYS[key]].rate + 10
        for daemon in self.world.daemons:
            each = rate / len(self.world.daemons)
            self.world.start_load(daemon, KEYS[key], each, 6.0, hold)

    def change(self, key: int, allowance: int) -> None:
        """Change an allowance."""
        chosen: Allowance = ALLOWANCES[allowance]
        if self.world.allowance_by_key[KEYS[key]] != chosen:
            self.world.change_allowance(KEYS[key], chosen)

    def degrade_network(self, loss: float, duplication: float, delay: float) -> None:
        """Lose, double and delay messages from now on."""
        faults = self.world.faults
        faults.loss, faults.duplication, faults.delay = loss, duplication, delay

    def cut(self, region: int, seconds: float) -> None:
        """Cut a region off from the others."""
        name = Region(f"region-{region}")
        self.world.faults.cut_regions.add(name)
        self.world.loop.call_later(seconds, self.world.faults.cut_regions.discard, name)

    def pause(self, daemon: int, seconds: float) -> None:
        """Stop a daemon for a while; its clock goes on."""
        paused = self._daemon(daemon)
        paused.paused_until = self.world.loop.time() + seconds

    def crash(self, daemon: int, restart_after: float) -> None:
        """Kill a daemon and start it again under the same id."""
        killed = self._daemon(daemon)
        if killed.is_alive:
            killed.crash()
            self.world.restart_later(killed, restart_after)

    def crash_data_centre(self, centre: int, restart_after: float) -> None:
        """Kill all daemons of a data centre at once."""
        names = list(self.world.region_of)
        chosen = names[centre % len(names)]
        for number, daemon in enumerate(self.world.daemons):
            if daemon.data_centre == chosen:
                self.crash(number, restart_after)

    def shut_down(self, daemon: int, restart_after: float) -> None:
        """End a daemon gracefully and start it again later."""
        leaving = self._daemon(daemon)
        if not leaving.is_alive:
            return
        self.world.shut_down(leaving)
        loop = self.world.loop
        loop.call_later(restart_after + 5, self._start_if_down, leaving)

    def break_store(self, seconds: float) -> None:
        """Take the store down."""
        self.world.faults.store_down = True
        self.world.loop.call_later(seconds, self._repair_store)

    def lose_store_answers(self, probability: float, late: float) -> None:
        """Lose answers of writes, some of which take effect later."""
        self.world.faults.store_answer_loss = probability
        self.world.faults.store_late_effect = late

    def run(self, seconds: float) -> None:
        """Move time forward, then compare with the oracle."""
        self.world.run(seconds)
        self.check()

    def check(self) -> None:
        """Raise ``AssertionError`` if any call went beyond its allowance."""
        for key, oracle in self.world.oracle_by_key.items():
            over = (oracle.over_rate, oracle.over_in_flight)
            if over != (0, 0):
                raise AssertionError(
                    f"{key[0]}: {over[0]} calls over rate and burst, {over[1]} over "
                    f"in_flight, at {self.world.loop.time():.3f} s"
                )

    def granted(self) -> int:
        """Return the calls granted so far."""
        return sum(counts.granted for counts in self.world.counts_by_key.values())

    def heal(self) -> None:
        """End all lasting faults."""
        self.degrade_network(0, 0, 0)
        self.lose_store_answers(0, 0)
        self._repair_store()
        self.world.faults.cut_regions.clear()

    def close(self) -> None:
        """End the simulation."""
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
    """Do one random operation and move time forward; return its name."""
    daemon, key = rng.randrange(12), rng.randrange(len(KEYS))
    step: dict[str, Callable[[], None]] = {
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
        "cut": lambda: operations.cut(rng.randrange(2), rng.choice(OUTAGES)),
        "pause": lambda: operations.pause(daemon, rng.choice(PAUSES)),
        "crash": lambda: operations.crash(daemon, rng.choice((0.01, 0.2, 2, 20))),
        "crash_data_centre": lambda: operations.crash_data_centre(
            daemon % 4, rng.choice((0.01, 2, 30))
        ),
        "shut_down": lambda: operations.shut_down(daemon, rng.choice((0, 5))),
        "break_store": lambda: operations.break_store(rng.choice(OUTAGES)),
        "lose_store_answers": lambda: operations.lose_store_answers(
            rng.choice((0, 0, 0.3)), rng.choice((0, 0, 0.2))
        ),
        "heal": operations.heal,
    }
    weights = (8, 6, 8, 0.5, 2, 0.7, 3, 3, 0.4, 2, 0.7, 1, 2)
    name = rng.choices(list(step), weights)[0]
    step[name]()
    operations.run(rng.choice((0.0, 0.01, 0.1, 0.5, 2.0)))
    return name
