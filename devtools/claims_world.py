"""Daemons that claim and run keyed calls on virtual time, beside a simple oracle.

The oracle counts executions by key. It fails when a key runs twice, when a refusal
that says "no" is false, or when a replay differs from the answer that was recorded.
"""

from collections import Counter
from random import Random
from typing import NamedTuple

from cassiasail._internal.coordination.claimed import ClaimStatus, HeldClaim
from cassiasail._internal.coordination.claimrows import (
    ClaimKey,
    RecordedResponse,
    digest_of,
)
from cassiasail._internal.coordination.claims import Claims, Replay
from cassiasail._internal.coordination.claimsweep import SweepResult
from cassiasail._internal.ids import CustomerId, DaemonId, ServiceName
from cassiasail._internal.state.refusals import Executed, Refusal, RefusalReason
from devtools.virtualtime import Task, VirtualLoop
from tests.lib.fakestore import FakeStore

BODIES = (b"raise", b"lower")
ANSWER_SIZES = (0, 40, 70 << 10, (1 << 20) + 1)  # bytes
DISPATCHES = 2
FATES = ("answer", "answer", "answer", "refuse", "refuse", "refuse", "lose", "vanish")
NETWORK = 0.02  # seconds, longest one way


class Sending(NamedTuple):
    """One sending of a call by its caller; ``attempt`` numbers those of one key."""

    number: int
    key: str
    body: bytes
    attempt: int


class DaemonSim:
    """One entry daemon; a restart replaces its memory but not its id."""

    def __init__(self, world: "ClaimsWorld", index: int) -> None:
        self.id = DaemonId(f"127.0.0.1:{7000 + index}")
        self.world = world
        self.tasks: list[Task] = []
        self.held_until = 0.0
        self.claims = self._new_claims()

    def crash(self) -> None:
        """Lose all memory and calls at once, then start again with the same id."""
        for task in self.tasks:
            self.world.loop.kill(task)
        self.tasks = []
        self.held_until = 0.0
        self.claims = self._new_claims()

    def hold(self, seconds: float) -> None:
        """Suspend the whole process."""
        self.held_until = max(self.held_until, self.world.loop.now() + seconds)
        for task in self.tasks:
            task.held_until = self.held_until

    def _new_claims(self) -> Claims:
        world = self.world
        return Claims(
            daemon=self.id,
            store=world.store,
            clock=world.loop,
            lookup=world.lookup,
            new_token=lambda: f"{world.rng.getrandbits(64):016x}",
        )


class ClaimsWorld:
    """Daemons, a store with faults, a fake target and the oracle."""

    def __init__(self, seed: int, daemons: int = 3) -> None:
        self.rng = Random(seed)
        self.loop = VirtualLoop()
        self.store = FakeStore(clock=self.loop, rng=self.rng, timeout=0.5)
        self.store.latency = 0.03
        self.daemons = [DaemonSim(self, index) for index in range(daemons)]
        self.executions: Counter[str] = Counter()
        self.executed_bodies: dict[str, bytes] = {}
        self.answer_by_key: dict[str, RecordedResponse] = {}
        self.recorded_keys: set[str] = set()
        self.doubtful_keys: set[str] = set()
        self.refused_sends: set[int] = set()
        # Sendings below this attempt must not run: a later one was refused with "no".
        self.closed_below: Counter[str] = Counter()
        self.attempts: Counter[str] = Counter()
        self.executed_attempt: dict[str, int] = {}
        self.seen: Counter[str] = Counter()
        self.epoch = 0
        self.lookup_loss = 0.1
        self._sends = 0

    async def lookup(self, daemon: DaemonId, token: str) -> ClaimStatus:
        """Ask another daemon about a token; late, or without an answer."""
        await self._network()
        asked = next(item for item in self.daemons if item.id == daemon)
        if asked.held_until > self.loop.now() or self.rng.random() < self.lookup_loss:
            return ClaimStatus.UNKNOWN
        status = asked.claims.status(token)
        await self._network()
        return status

    def send(
        self, daemon: int, key: str, body: bytes, *, deadline: float = 3.0
    ) -> None:
        """Start one sending of a call through a daemon."""
        self._sends += 1
        self.attempts[key] += 1
        attempt = self.attempts[key]
        sim = self.daemons[daemon]
        task = self.loop.spawn(
            self._serve(sim, Sending(self._sends, key, body, attempt), deadline)
        )
        task.held_until = sim.held_until
        sim.tasks = [item for item in sim.tasks if not item.done] + [task]

    def crash(self, daemon: int) -> None:
        """Crash a daemon; what it knew of its tokens is lost.

        Claims that it held, or that land later, may now stay without outcome.
        """
        self.doubtful_keys.update(self.attempts)
        self.daemons[daemon].crash()

    def advance(self, seconds: float) -> None:
        """Let virtual time pass."""
        self.loop.run_until(self.loop.now() + seconds)

    def heal(self) -> None:
        """End all faults and pauses of the store and wait until nothing runs."""
        self.store.down = False
        self.store.lose_responses = self.store.delay_effects = 0
        self.lookup_loss = 0.0
        pauses = max(sim.held_until - self.loop.now() for sim in self.daemons)
        self.advance(max(0.0, pauses) + 60.0)

    def expire(self) -> None:
        """Pass the retention time, sweep everything and begin a new epoch.

        Daemons that are paused stay so across it, with the claims they hold.
        """
        self.rng.choice(self.daemons).hold(0.001)
        self.store.down = False
        self.store.lose_responses = self.store.delay_effects = 0
        for sim in self.daemons:
            if sim.held_until > self.loop.now():
                sim.hold(27 * 3600.0)
        self.advance(26 * 3600.0)
        sweeper = DaemonSim(self, len(self.daemons))
        for _ in range(64):
            self.loop.spawn(self._sweep(sweeper))
            self.advance(1.0)
        left = [key for key in self.store.row_by_key if key.startswith("claim")]
        assert not left, f"sweep left {left[:3]}"
        self.epoch += 1
        self.executions.clear()
        self.executed_bodies.clear()
        self.answer_by_key.clear()
        self.recorded_keys.clear()
        self.doubtful_keys.clear()
        self.closed_below.clear()

    def check_settled(self, keys: list[str]) -> None:
        """Check resends on a healthy fleet: recorded keys replay, unrun keys run."""
        self.heal()
        for key in keys:
            body = self.executed_bodies.get(key, BODIES[0])
            ran, recorded = self.executions[key], key in self.recorded_keys
            before = self.seen.copy()
            self.send(0, key, body)
            self.advance(30.0)
            replayed = self.seen["replay"] > before["replay"]
            if recorded:
                assert replayed, f"{key} recorded, not replayed: {self.seen - before}"
            elif not ran and key not in self.doubtful_keys:
                gained = self.seen - before
                assert gained["claimed"], f"{key} cannot run: {gained}"

    async def _serve(self, sim: DaemonSim, sending: Sending, allowed: float) -> None:
        claims, epoch = sim.claims, self.epoch
        claim_key = ClaimKey(
            customer=CustomerId("desk"),
            service=ServiceName("array-ctl"),
            key=sending.key,
        )
        taken = await claims.acquire(
            claim_key,
            digest_of(sending.body),
            deadline=self.loop.now() + allowed,
            caller_attempt=sending.attempt,
        )
        if epoch != self.epoch and not isinstance(taken, HeldClaim):
            # Decided before the retention time passed, told after a long pause.
            self.seen["told_late"] += 1
        elif isinstance(taken, Refusal):
            self._refuse(sending, taken)
        elif isinstance(taken, Replay):
            self.seen["replay"] += 1
            recorded = self.answer_by_key[sending.key]
            assert taken.response == recorded, f"{sending} replayed wrongly"
            ran = self.executed_bodies[sending.key]
            assert ran == sending.body, f"{sending} got the answer of another body"
        else:
            self.seen["claimed"] += 1
            await self._run(claims, taken, sending, epoch)

    async def _run(
        self, claims: Claims, claimed: HeldClaim, sending: Sending, epoch: int
    ) -> None:
        for _ in range(DISPATCHES):
            if not claimed.may_dispatch():
                break
            claimed.mark_dispatched()
            sent_in = self.epoch
            await self._network()
            fate = self.rng.choice(FATES)
            if fate == "refuse":
                claimed.mark_not_executed()
                await self._network()
                continue
            # A call held up for hours is stopped by the deadline check of the host.
            if fate == "vanish" or sent_in != self.epoch:
                self.doubtful_keys.add(sending.key)
                claims.abandon(claimed)
                return
            answer = self._execute(sending)
            await self.loop.sleep(self.rng.random())
            if fate == "lose":
                claims.abandon(claimed)
                return
            if await claims.record(claimed, answer) and epoch == self.epoch:
                self.recorded_keys.add(sending.key)
            return
        refusal = Refusal(reason=RefusalReason.DEADLINE_EXCEEDED, executed=Executed.NO)
        await claims.release(claimed)
        if epoch == self.epoch:
            self._refuse(sending, refusal)

    def _execute(self, sending: Sending) -> RecordedResponse:
        key = sending.key
        self.executions[key] += 1
        self.executed_bodies[key] = sending.body
        self.executed_attempt[key] = sending.attempt
        self.seen["executed"] += 1
        assert self.executions[key] == 1, f"{sending} executed a second time"
        assert sending.number not in self.refused_sends, f"{sending} ran after refusal"
        assert sending.attempt >= self.closed_below[key], f"{sending} ran too late"
        answer = RecordedResponse(
            status=200,
            headers=(("etag", str(sending.number)),),
            body=(b"%d/" % sending.number).ljust(self.rng.choice(ANSWER_SIZES), b"x"),
        )
        self.answer_by_key[key] = answer
        return answer

    def _refuse(self, sending: Sending, refusal: Refusal) -> None:
        self.seen[refusal.reason.value] += 1
        if refusal.executed is not Executed.NO:
            return
        key = sending.key
        self.refused_sends.add(sending.number)
        earlier = self.executions[key] and self.executed_attempt[key] < sending.attempt
        assert not earlier, f'false "no" for {sending}: {refusal}'
        self.closed_below[key] = max(self.closed_below[key], sending.attempt)

    async def _sweep(self, sim: DaemonSim) -> None:
        swept = await sim.claims.sweep()
        assert isinstance(swept, SweepResult), swept
        self.seen["swept"] += swept.removed

    async def _network(self) -> None:
        await self.loop.sleep(self.rng.random() * NETWORK)


def random_step(world: ClaimsWorld, rng: Random, keys: list[str]) -> None:
    """Take one random step: a sending, time, a fault, a pause or a crash."""
    daemon = rng.randrange(len(world.daemons))
    draw = rng.random()
    if draw < 0.45:
        body = BODIES[rng.random() < 0.1]
        deadline = rng.choice((0.1, 0.3, 3.0))
        world.send(daemon, rng.choice(keys), body, deadline=deadline)
    elif draw < 0.87:
        world.advance(rng.choice((0.005, 0.02, 0.05, 0.1, 1.0)))
    elif draw < 0.90:
        world.store.lose_responses = rng.randrange(1, 4)
    elif draw < 0.93:
        world.store.delay_effects = rng.randrange(1, 4)
        world.store.effect_delay = rng.choice((0.1, 0.6, 1.2, 5.0, 40.0))
    elif draw < 0.96:
        world.store.down = not world.store.down and rng.random() < 0.2
    elif draw < 0.985:
        world.daemons[daemon].hold(rng.choice((0.05, 0.3, 2.0)))
    else:
        world.crash(daemon)


def run_claims(seed: int, steps: int) -> Counter[str]:
    """Run ``steps`` random steps in rounds of 200 and return what was seen."""
    rng = Random(seed)
    total: Counter[str] = Counter()
    while steps > 0:
        world = ClaimsWorld(rng.getrandbits(32))
        # A few keys at a time: once executed, a key only replays.
        keys = [f"key{index}" for index in range(rng.choice((2, 20, 50)))]
        first = 0
        for step in range(min(steps, 200)):
            first = step * len(keys) // 200
            random_step(world, rng, keys[first : first + 3])
        steps -= 200
        if rng.random() < 0.3:
            world.expire()
            # Sendings at once, so that held daemons wake among them.
            for _ in range(100):
                random_step(world, rng, keys[first : first + 3])
        world.check_settled(keys)
        world.loop.close()
        total.update(world.seen)
    return total
