"""Fingerprints of requests that crash targets.

A target process that dies with calls in flight gives each of their fingerprints a
strike. One notice per death is flooded to all daemons; every daemon draws the same
conclusions from the same notices. ``check`` is asked before a call is sent on:

- One strike blocks the fingerprint for 2 s (``suspected``). Afterwards it is on
  probation: a target runs at most one fingerprint on probation at a time, so that
  the next death tells which of several suspects is the cause.
- Strikes on two targets quarantine it for 10 min.
- An answer lifts the strikes of a fingerprint that shared its deaths with others.

Deaths close to each other are one moment and judged together. Several strikes of one
moment count only for the fingerprint that explains the moment: it was in flight on
most of the dead targets, and no other fingerprint was on as many. When many targets
die in one moment, as with a rack, the strikes of all others are weak: they matter
only if the fingerprint came back after its suspicion and was struck again soon.
"""

from collections import OrderedDict, deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from .. import metrics
from ..clock import Clock
from ..ids import TargetId
from ..state.fingerprints import Fingerprint
from ..state.refusals import Executed, Refusal, RefusalReason
from .strikes import (
    MOMENT_SECONDS,
    QUARANTINE_SECONDS,
    Death,
    Moment,
    moments_of,
    quarantine_seconds,
    returned_and_killed,
    suspicion_seconds,
)

# A strike without other suspects is lifted after this many answers, so that a request
# which is often alone on its target does not collect strikes of unrelated crashes.
LIFT_ANSWERS = 10
# One death names at most this many calls; a target has up to 18 slots.
MAX_FINGERPRINTS_PER_DEATH = 128
MAX_DEATHS = 512
# Bounds the memory against callers that vary their requests: about 100 bytes each.
MAX_QUARANTINED = 4096
MAX_LIFTED = 4096
# Deaths remembered against copies of their notices that are still on the way.
MAX_SEEN = 4096


@dataclass(frozen=True, slots=True, kw_only=True)
class DeathNotice:
    """A target process died with calls in flight.

    ``started`` tells the processes of one target apart. ``age`` is the time in
    seconds since the death, because the clocks of the daemons differ.
    """

    target: TargetId
    started: float
    fingerprints: tuple[Fingerprint, ...]
    age: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class LiftNotice:
    """A struck fingerprint was answered: its part in these deaths is forgotten."""

    fingerprint: Fingerprint
    deaths: tuple[tuple[TargetId, float], ...]


Notice = DeathNotice | LiftNotice


class Quarantine:
    """Strikes and quarantined fingerprints, as known to one daemon."""

    def __init__(self, *, clock: Clock, publish: Callable[[Notice], None]) -> None:
        self._clock = clock
        self._publish = publish
        # In order of the time of death, oldest first.
        self._deaths: deque[Death] = deque()
        self._death_by_key: dict[tuple[TargetId, float], Death] = {}
        self._deaths_by_fingerprint: dict[Fingerprint, list[Death]] = {}
        # Answers seen here since the last strike.
        self._answers_by_fingerprint: dict[Fingerprint, int] = {}
        self._until_by_fingerprint: OrderedDict[Fingerprint, float] = OrderedDict()
        self._seen: OrderedDict[tuple[TargetId, float], None] = OrderedDict()
        self._lifted: OrderedDict[tuple[Fingerprint, TargetId, float], None] = (
            OrderedDict()
        )

    def report_death(
        self, target: TargetId, started: float, fingerprints: Iterable[Fingerprint]
    ) -> None:
        """Record the death of a local target process and tell the other daemons."""
        named = tuple(dict.fromkeys(fingerprints))[:MAX_FINGERPRINTS_PER_DEATH]
        if not named:
            return
        notice = DeathNotice(target=target, started=started, fingerprints=named)
        if self._record(notice):
            metrics.TARGET_DEATHS.labels("local").inc()
            self._publish(notice)

    def receive(self, notice: Notice) -> None:
        """Take over a notice of another daemon; a new one is passed on."""
        new = (
            self._record(notice)
            if isinstance(notice, DeathNotice)
            else self._forget(notice)
        )
        if not new:
            return
        if isinstance(notice, DeathNotice):
            metrics.TARGET_DEATHS.labels("remote").inc()
        self._publish(notice)

    def check(self, fingerprint: Fingerprint) -> Refusal | None:
        """Return why the request must not reach a target now, or None."""
        if not self._deaths_by_fingerprint and not self._until_by_fingerprint:
            return None
        now = self._clock.now()
        self._expire(now)
        until = self._verdict(fingerprint, now) or self._judge(fingerprint, now)
        if until is not None and now < until:
            return _refusal(RefusalReason.QUARANTINED, until - now)
        deaths = self._deaths_by_fingerprint.get(fingerprint)
        if not deaths:
            return None
        blocked = deaths[-1].time + suspicion_seconds(deaths) - now
        return _refusal(RefusalReason.SUSPECTED, blocked) if blocked > 0 else None

    def is_on_probation(self, fingerprint: Fingerprint) -> bool:
        """Return whether the fingerprint has strikes that were not lifted.

        Strikes of a mass moment do not count: its many suspects would wait for each
        other although the cause lies elsewhere.
        """
        deaths = self._deaths_by_fingerprint.get(fingerprint)
        if not deaths:
            return False
        return any(not moment.weak for moment in self._moments(fingerprint, deaths))

    def killed(self, fingerprint: Fingerprint) -> frozenset[TargetId]:
        """Return the targets that died with a request on probation.

        The request is sent to others first: a second death of the same target would
        not tell whether the request or the target is at fault.
        """
        deaths = self._deaths_by_fingerprint.get(fingerprint)
        if not deaths or not self.is_on_probation(fingerprint):
            return frozenset()
        return frozenset(death.target for death in deaths)

    def answered(self, fingerprint: Fingerprint) -> None:
        """Lift the strikes of a request that a target has answered.

        Strikes of a single death with a single call in flight stay until it was
        answered several times, because nothing else explains them. A quarantine
        stays, except one concluded from a single moment while that moment lasts: a
        popular request is then still answered by other targets.
        """
        deaths = self._deaths_by_fingerprint.get(fingerprint)
        if not deaths or self._verdict(fingerprint, self._clock.now()) is not None:
            return
        moments = self._moments(fingerprint, deaths)
        if returned_and_killed(moments):
            return
        answers = self._answers_by_fingerprint.get(fingerprint, 0) + 1
        self._answers_by_fingerprint[fingerprint] = answers
        liftable = tuple(
            (death.target, death.started)
            for moment in moments
            for death in moment.deaths
            if moment.mass or len(death.fingerprints) > 1 or answers >= LIFT_ANSWERS
        )
        notice = LiftNotice(fingerprint=fingerprint, deaths=liftable)
        if liftable and self._forget(notice):
            self._publish(notice)

    def notices(self) -> list[Notice]:
        """Return what a daemon that has just joined needs to know."""
        now = self._clock.now()
        self._expire(now)
        deaths: list[Notice] = [
            DeathNotice(
                target=death.target,
                started=death.started,
                fingerprints=death.fingerprints,
                age=now - death.time,
            )
            for death in self._deaths
        ]
        lifted = [
            LiftNotice(fingerprint=fingerprint, deaths=((target, started),))
            for fingerprint, target, started in self._lifted
            if (target, started) in self._death_by_key
        ]
        # Lifts first: a strike that was lifted then never takes effect.
        return [*lifted, *deaths]

    def quarantined(self) -> dict[Fingerprint, float]:
        """Return the quarantined fingerprints with their remaining seconds."""
        now = self._clock.now()
        self._expire(now)
        for fingerprint in tuple(self._deaths_by_fingerprint):
            self._judge(fingerprint, now)
        return {
            fingerprint: until - now
            for fingerprint, until in self._until_by_fingerprint.items()
            if now < until
        }

    def _record(self, notice: DeathNotice) -> bool:
        key = (notice.target, notice.started)
        if key in self._seen or notice.age >= QUARANTINE_SECONDS:
            return False
        self._seen[key] = None
        if len(self._seen) > MAX_SEEN:
            self._seen.popitem(last=False)
        now = self._clock.now()
        self._expire(now)
        fingerprints = notice.fingerprints[:MAX_FINGERPRINTS_PER_DEATH]
        time = now - max(notice.age, 0.0)
        death = Death(notice.target, notice.started, fingerprints, time)
        self._death_by_key[key] = death
        self._insert(death)
        for fingerprint in fingerprints:
            if (fingerprint, *key) in self._lifted:
                continue
            self._answers_by_fingerprint.pop(fingerprint, None)
            deaths = self._deaths_by_fingerprint.setdefault(fingerprint, [])
            deaths.append(death)
            deaths.sort(key=lambda each: each.time)
        if len(self._deaths) > MAX_DEATHS:
            self._drop_oldest()
        return True

    def _insert(self, death: Death) -> None:
        later: list[Death] = []
        while self._deaths and self._deaths[-1].time > death.time:
            later.append(self._deaths.pop())
        self._deaths.append(death)
        self._deaths.extend(reversed(later))

    def _forget(self, notice: LiftNotice) -> bool:
        new = False
        for target, started in notice.deaths:
            key = (notice.fingerprint, target, started)
            if key in self._lifted:
                continue
            new = True
            self._lifted[key] = None
            self._lift_strike(notice.fingerprint, (target, started))
        while len(self._lifted) > MAX_LIFTED:
            self._lifted.popitem(last=False)
        return new

    def _lift_strike(
        self, fingerprint: Fingerprint, key: tuple[TargetId, float]
    ) -> None:
        deaths = self._deaths_by_fingerprint.get(fingerprint)
        # Another daemon saw the answer while the moment lasted here too, or before
        # it knew of a later moment. Only the first case undoes a verdict.
        if deaths and len(self._moments(fingerprint, deaths)) == 1:
            self._until_by_fingerprint.pop(fingerprint, None)
        self._remove_strike(fingerprint, key)

    def _remove_strike(
        self, fingerprint: Fingerprint, key: tuple[TargetId, float]
    ) -> None:
        deaths = self._deaths_by_fingerprint.get(fingerprint, [])
        kept = [death for death in deaths if (death.target, death.started) != key]
        if kept:
            self._deaths_by_fingerprint[fingerprint] = kept
        else:
            self._deaths_by_fingerprint.pop(fingerprint, None)
            self._answers_by_fingerprint.pop(fingerprint, None)

    def _verdict(self, fingerprint: Fingerprint, now: float) -> float | None:
        """Return until when the fingerprint is quarantined by a kept verdict.

        Expired verdicts may still be held behind longer ones.
        """
        until = self._until_by_fingerprint.get(fingerprint)
        return until if until is not None and now < until else None

    def _judge(self, fingerprint: Fingerprint, now: float) -> float | None:
        """Return until when the strikes quarantine the fingerprint, if they do.

        The verdict is kept once its last moment is over; before that, further
        deaths of the same moment may still turn it into a mass moment.
        """
        deaths = self._deaths_by_fingerprint.get(fingerprint)
        if not deaths or len(deaths) < 2:
            return None
        moments = self._moments(fingerprint, deaths)
        seconds = quarantine_seconds(moments)
        if seconds is None:
            return None
        last = deaths[-1].time
        until = last + seconds
        if now - last >= MOMENT_SECONDS and now < until:
            self._commit(fingerprint, until)
        return until

    def _moments(self, fingerprint: Fingerprint, deaths: list[Death]) -> list[Moment]:
        return moments_of(fingerprint, deaths, all_deaths=self._deaths)

    def _commit(self, fingerprint: Fingerprint, until: float) -> None:
        self._until_by_fingerprint[fingerprint] = until
        self._until_by_fingerprint.move_to_end(fingerprint)
        metrics.FINGERPRINTS_QUARANTINED.inc()
        while len(self._until_by_fingerprint) > MAX_QUARANTINED:
            self._until_by_fingerprint.popitem(last=False)

    def _expire(self, now: float) -> None:
        while self._deaths and now - self._deaths[0].time >= QUARANTINE_SECONDS:
            self._drop_oldest()
        while self._until_by_fingerprint:
            fingerprint, until = next(iter(self._until_by_fingerprint.items()))
            if now < until:
                break
            del self._until_by_fingerprint[fingerprint]

    def _drop_oldest(self) -> None:
        death = self._deaths.popleft()
        key = (death.target, death.started)
        del self._death_by_key[key]
        for fingerprint in death.fingerprints:
            self._remove_strike(fingerprint, key)


def _refusal(reason: RefusalReason, retry_after: float) -> Refusal:
    return Refusal(reason=reason, executed=Executed.NO, retry_after=retry_after)
