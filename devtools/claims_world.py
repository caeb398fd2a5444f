"""Simulation of daemons that claim and run keyed calls, checked by a simple oracle.

The simulation runs on virtual time. The oracle counts executions by key. It fails when
a key is executed twice, when a refusal reports ``executed: no`` for a call that was
executed, or when a replay differs from the recorded response.
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
RESPONSE_SIZES_BYTES = (0, 40, 70 << 10, (1 << 20) + 1)
MAX_DISPATCHES = 2  # per claim
DISPATCH_OUTCOMES = (
    "respond",
    "respond",
    "respond",
    "refuse",
    "refuse",
    "refuse",
    "lose_response",
    "lose_request",
)
MAX_LATENCY_SECONDS = 0.02  # one way


class SentCall(NamedTuple):
    """One sending of a call by its caller.

    ``number`` is unique in the world; ``attempt`` counts the sendings of one key.
    """

    number: int
    key: str
    body: bytes
    attempt: int


class DaemonSim:
    """One entry daemon; a restart clears its memory and keeps its id."""

    def __init__(self, world: "ClaimsWorld", index: int) -> None:
        self.id = DaemonId(f"127.0.0.1:{7000 + index}")
        self.world = world
        self.tasks: list[Task] = []
        self.held_until = 0.0
        self.claims = self._new_claims()

    def crash(self) -> None:
        """Drop all memory and calls at once, then restart with the same id."""
        for task in self.tasks:
            self.world.loop.kill(task)
        self.tasks = []
        self.held_until = 0.0
        self.claims = self._new_claims()

    def hold(self, seconds: float) -> None:
        """Suspend all tasks of the daemon for ``seconds``, as a paused process."""
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
    """Daemons, a store with faults, a simulated target and the oracle."""

    def __init__(self, seed: int, daemons: int = 3) -> None:
        self.rng = Random(seed)
        self.loop = VirtualLoop()
        self.store = FakeStore(clock=self.loop, rng=self.rng, timeout=0.5)
        self.store.latency = 0.03
        self.daemons = [DaemonSim(self, index) for index in range(daemons)]
        self.execution_count_by_key: Counter[str] = Counter()
        self.executed_body_by_key: dict[str, bytes] = {}
        self.response_by_key: dict[str, RecordedResponse] = {}
        self.recorded_keys: set[str] = set()
        self.unknown_outcome_keys: set[str] = set()
        self.refused_call_numbers: set[int] = set()
        # Lowest attempt of a key that may still be executed: a refusal with
        # ``executed: no`` also covers all earlier attempts.
        self.min_attempt_by_key: Counter[str] = Counter()
        self.attempt_count_by_key: Counter[str] = Counter()
        self.executed_attempt_by_key: dict[str, int] = {}
        self.outcome_counts: Counter[str] = Counter()
        self.epoch = 0
        self.lookup_loss_probability = 0.1
        self._call_count = 0

    async def lookup(self, daemon: DaemonId, token: str) -> ClaimStatus:
        """Look up a token at another daemon, with latency and lost lookups."""
        await self._delay()
        sim = next(item for item in self.daemons if item.id == daemon)
        if (
            sim.held_until > self.loop.now()
            or self.rng.random() < self.lookup_loss_probability
        ):
            return ClaimStatus.UNKNOWN
        status = sim.claims.status(token)
        await self._delay()
        return status

    def send(
        self, daemon: int, key: str, body: bytes, *, deadline: float = 3.0
    ) -> None:
        """Send a call once to a daemon; ``deadline`` is in seconds from now."""
        self._call_count += 1
        self.attempt_count_by_key[key] += 1
        attempt = self.attempt_count_by_key[key]
        sim = self.daemons[daemon]
        task = self.loop.spawn(
            self._run_call(
                sim, SentCall(self._call_count, key, body, attempt), deadline
            )
        )
        task.held_until = sim.held_until
        sim.tasks = [item for item in sim.tasks if not item.done] + [task]

    def crash(self, daemon: int) -> None:
        """Crash a daemon; the state of its tokens is lost.

        Claims that it held, or whose writes take effect later, may never get an
        outcome. So every key sent so far may be unable to run.
        """
        self.unknown_outcome_keys.update(self.attempt_count_by_key)
        self.daemons[daemon].crash()

    def advance(self, seconds: float) -> None:
        """Advance virtual time by ``seconds``."""
        self.loop.run_until(self.loop.now() + seconds)

    def end_faults(self) -> None:
        """End all faults of the store and lookups; wait for pauses and calls to end."""
        self.store.down = False
        self.store.lose_responses = self.store.delay_effects = 0
        self.lookup_loss_probability = 0.0
        longest_pause = max(sim.held_until - self.loop.now() for sim in self.daemons)
        self.advance(max(0.0, longest_pause) + 60.0)

    def expire(self) -> None:
        """Advance beyond the retention time, sweep all claims and begin a new epoch.

        Daemons that are paused stay paused throughout and keep the claims they hold.
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
            self.loop.spawn(self._sweep_once(sweeper))
            self.advance(1.0)
        unswept_keys = [key for key in self.store.row_by_key if key.startswith("claim")]
        assert not unswept_keys, f"sweep did not remove {unswept_keys[:3]}"
        self.epoch += 1
        self.execution_count_by_key.clear()
        self.executed_body_by_key.clear()
        self.response_by_key.clear()
        self.recorded_keys.clear()
        self.unknown_outcome_keys.clear()
        self.min_attempt_by_key.clear()

    def check_settled(self, keys: list[str]) -> None:
        """Send each key again without faults: it replays if recorded, or else runs.

        Keys that were executed without a record, or whose outcome is unknown, may be
        refused.
        """
        self.end_faults()
        for key in keys:
            body = self.executed_body_by_key.get(key, BODIES[0])
            was_executed, is_recorded = (
                self.execution_count_by_key[key],
                key in self.recorded_keys,
            )
            counts_before = self.outcome_counts.copy()
            self.send(0, key, body)
            self.advance(30.0)
            replayed = self.outcome_counts["replay"] > counts_before["replay"]
            if is_recorded:
                assert replayed, (
                    f"{key} recorded, not replayed: "
                    f"{self.outcome_counts - counts_before}"
                )
            elif not was_executed and key not in self.unknown_outcome_keys:
                gained_counts = self.outcome_counts - counts_before
                assert gained_counts["claimed"], f"{key} cannot run: {gained_counts}"

    async def _run_call(self, sim: DaemonSim, call: SentCall, timeout: float) -> None:
        claims, epoch = sim.claims, self.epoch
        claim_key = ClaimKey(
            customer=CustomerId("desk"),
            service=ServiceName("array-ctl"),
            key=call.key,
        )
        acquired = await claims.acquire(
            claim_key,
            digest_of(call.body),
            deadline=self.loop.now() + timeout,
            caller_attempt=call.attempt,
        )
        if epoch != self.epoch and not isinstance(acquired, HeldClaim):
            # Decided in an earlier epoch, but returned after a long pause.
            self.outcome_counts["returned_in_later_epoch"] += 1
        elif isinstance(acquired, Refusal):
            self._check_refusal(call, acquired)
        elif isinstance(acquired, Replay):
            self.outcome_counts["replay"] += 1
            recorded = self.response_by_key[call.key]
            assert acquired.response == recorded, (
                f"{call} replayed a response that was not recorded"
            )
            executed_body = self.executed_body_by_key[call.key]
            assert executed_body == call.body, (
                f"{call} replayed the response to another body"
            )
        else:
            self.outcome_counts["claimed"] += 1
            await self._dispatch(claims, acquired, call, epoch)

    async def _dispatch(
        self, claims: Claims, claim: HeldClaim, call: SentCall, epoch: int
    ) -> None:
        for _ in range(MAX_DISPATCHES):
            if not claim.may_dispatch():
                break
            claim.mark_dispatched()
            dispatch_epoch = self.epoch
            await self._delay()
            outcome = self.rng.choice(DISPATCH_OUTCOMES)
            if outcome == "refuse":
                claim.mark_not_executed()
                await self._delay()
                continue
            # The host daemon rejects a call that was delayed beyond its deadline.
            if outcome == "lose_request" or dispatch_epoch != self.epoch:
                self.unknown_outcome_keys.add(call.key)
                claims.abandon(claim)
                return
            response = self._execute(call)
            await self.loop.sleep(self.rng.random())
            if outcome == "lose_response":
                claims.abandon(claim)
                return
            if await claims.record(claim, response) and epoch == self.epoch:
                self.recorded_keys.add(call.key)
            return
        refusal = Refusal(reason=RefusalReason.DEADLINE_EXCEEDED, executed=Executed.NO)
        await claims.release(claim)
        if epoch == self.epoch:
            self._check_refusal(call, refusal)

    def _execute(self, call: SentCall) -> RecordedResponse:
        key = call.key
        self.execution_count_by_key[key] += 1
        self.executed_body_by_key[key] = call.body
        self.executed_attempt_by_key[key] = call.attempt
        self.outcome_counts["executed"] += 1
        assert self.execution_count_by_key[key] == 1, (
            f"{call} was executed a second time"
        )
        assert call.number not in self.refused_call_numbers, (
            f"{call} was executed after its refusal"
        )
        assert call.attempt >= self.min_attempt_by_key[key], (
            f"{call} was executed after a later attempt was refused"
        )
        response = RecordedResponse(
            status=200,
            headers=(("etag", str(call.number)),),
            body=(b"%d/" % call.number).ljust(
                self.rng.choice(RESPONSE_SIZES_BYTES), b"x"
            ),
        )
        self.response_by_key[key] = response
        return response

    def _check_refusal(self, call: SentCall, refusal: Refusal) -> None:
        self.outcome_counts[refusal.reason.value] += 1
        if refusal.executed is not Executed.NO:
            return
        key = call.key
        self.refused_call_numbers.add(call.number)
        executed_earlier = (
            self.execution_count_by_key[key]
            and self.executed_attempt_by_key[key] < call.attempt
        )
        assert not executed_earlier, f"false executed=no for {call}: {refusal}"
        self.min_attempt_by_key[key] = max(self.min_attempt_by_key[key], call.attempt)

    async def _sweep_once(self, sim: DaemonSim) -> None:
        swept = await sim.claims.sweep()
        assert isinstance(swept, SweepResult), swept
        self.outcome_counts["swept"] += swept.removed

    async def _delay(self) -> None:
        await self.loop.sleep(self.rng.random() * MAX_LATENCY_SECONDS)


def random_step(world: ClaimsWorld, rng: Random, keys: list[str]) -> None:
    """Do one random step: send a call, advance time, cause a fault, pause or crash."""
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
    """Run ``steps`` random steps in rounds of 200; return the counts of outcomes."""
    rng = Random(seed)
    total: Counter[str] = Counter()
    while steps > 0:
        world = ClaimsWorld(rng.getrandbits(32))
        # Steps use three keys at a time: once executed, a key can only replay.
        keys = [f"key{index}" for index in range(rng.choice((2, 20, 50)))]
        first = 0
        for step in range(min(steps, 200)):
            first = step * len(keys) // 200
            random_step(world, rng, keys[first : first + 3])
        steps -= 200
        if rng.random() < 0.3:
            world.expire()
            # Send calls right away, so that paused daemons resume while these run.
            for _ in range(100):
                random_step(world, rng, keys[first : first + 3])
        world.check_settled(keys)
        world.loop.close()
        total.update(world.outcome_counts)
    return total
