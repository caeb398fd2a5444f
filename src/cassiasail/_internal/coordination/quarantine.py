"""Quarantine of requests that crash targets, by the fingerprint of the request.

When a target process crashes with calls in flight, each of their fingerprints gets a
crash record. One notice per crash is flooded to all daemons; every daemon reaches the
same result from the same notices. ``check`` is called before a call is forwarded or
dispatched:

- One crash record blocks the fingerprint for 2 s (``suspected``). Afterwards it is on
  probation: a target runs at most one fingerprint on probation at a time, so that the
  next crash shows which of several suspects is the cause.
- Crash records of two targets quarantine it for 10 min.
- A response clears the crash records that a fingerprint shares with others.

Crashes close to each other form one burst and are evaluated together. Several records
of one burst count only for the fingerprint that explains the burst: it was in flight
on most of the crashed targets, and no other fingerprint was on as many. When many
targets crash in one burst, as in the loss of a rack, the records of all other
fingerprints are weak evidence: they count only if the fingerprint was in flight at
another crash soon after its suspicion ended.
"""

from collections import OrderedDict, deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from .. import metrics
from ..clock import Clock
from ..ids import TargetId
from ..state.fingerprints import Fingerprint
from ..state.refusals import Executed, Refusal, RefusalReason
from .crash_records import (
    BURST_GAP_SECONDS,
    QUARANTINE_SECONDS,
    CrashBurst,
    TargetCrash,
    group_into_bursts,
    has_independent_crashes,
    quarantine_seconds,
    suspicion_seconds,
)

# A crash record without other suspects is cleared after this many responses, so that
# a request which is often alone on its target does not collect records of unrelated
# crashes.
RESPONSES_TO_CLEAR = 10
# Limits the fingerprints of one crash; a target has up to 18 slots.
MAX_FINGERPRINTS_PER_CRASH = 128
MAX_CRASHES = 512
# Bounds the memory against callers that vary their requests: about 100 bytes each.
MAX_QUARANTINED = 4096
MAX_CLEARED_RECORDS = 4096
# Crashes remembered to drop duplicates of their notices that arrive later.
MAX_SEEN_CRASHES = 4096


@dataclass(frozen=True, slots=True, kw_only=True)
class CrashNotice:
    """A target process crashed with calls in flight.

    ``start_time`` identifies the incarnation of the target. ``age`` is the time in
    seconds since the crash, because the clocks of the daemons differ.
    """

    target: TargetId
    start_time: float
    fingerprints: tuple[Fingerprint, ...]
    age: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class ClearNotice:
    """A target responded to a suspected fingerprint: drop its records of ``crashes``.

    Each crash is identified by the target and its start time.
    """

    fingerprint: Fingerprint
    crashes: tuple[tuple[TargetId, float], ...]


Notice = CrashNotice | ClearNotice


class Quarantine:
    """Crash records and quarantined fingerprints, as seen by one daemon."""

    def __init__(self, *, clock: Clock, publish: Callable[[Notice], None]) -> None:
        self._clock = clock
        self._publish = publish
        # Ordered by the time of the crash, oldest first.
        self._crashes: deque[TargetCrash] = deque()
        self._crash_by_key: dict[tuple[TargetId, float], TargetCrash] = {}
        self._crashes_by_fingerprint: dict[Fingerprint, list[TargetCrash]] = {}
        # Responses seen by this daemon since the last crash record.
        self._responses_by_fingerprint: dict[Fingerprint, int] = {}
        self._quarantine_end_by_fingerprint: OrderedDict[Fingerprint, float] = (
            OrderedDict()
        )
        self._seen: OrderedDict[tuple[TargetId, float], None] = OrderedDict()
        self._cleared: OrderedDict[tuple[Fingerprint, TargetId, float], None] = (
            OrderedDict()
        )

    def report_crash(
        self, target: TargetId, start_time: float, fingerprints: Iterable[Fingerprint]
    ) -> None:
        """Record the crash of a local target and send a notice to all daemons."""
        in_flight = tuple(dict.fromkeys(fingerprints))[:MAX_FINGERPRINTS_PER_CRASH]
        if not in_flight:
            return
        notice = CrashNotice(
            target=target, start_time=start_time, fingerprints=in_flight
        )
        if self._record_crash(notice):
            metrics.TARGET_DEATHS.labels("local").inc()
            self._publish(notice)

    def receive(self, notice: Notice) -> None:
        """Apply a notice of another daemon and publish it if it is new."""
        is_new = (
            self._record_crash(notice)
            if isinstance(notice, CrashNotice)
            else self._clear_records(notice)
        )
        if not is_new:
            return
        if isinstance(notice, CrashNotice):
            metrics.TARGET_DEATHS.labels("remote").inc()
        self._publish(notice)

    def check(self, fingerprint: Fingerprint) -> Refusal | None:
        """Return why the request must not reach a target now, or None."""
        if not self._crashes_by_fingerprint and not self._quarantine_end_by_fingerprint:
            return None
        now = self._clock.now()
        self._expire(now)
        quarantine_end = self._stored_quarantine_end(
            fingerprint, now
        ) or self._evaluate(fingerprint, now)
        if quarantine_end is not None and now < quarantine_end:
            return _refusal(RefusalReason.QUARANTINED, quarantine_end - now)
        crashes = self._crashes_by_fingerprint.get(fingerprint)
        if not crashes:
            return None
        remaining = crashes[-1].time + suspicion_seconds(crashes) - now
        return _refusal(RefusalReason.SUSPECTED, remaining) if remaining > 0 else None

    def is_on_probation(self, fingerprint: Fingerprint) -> bool:
        """Return whether the fingerprint has crash records that are not weak evidence.

        Records of a mass crash that the fingerprint does not explain are weak: its
        many suspects would block each other although the cause lies elsewhere.
        """
        crashes = self._crashes_by_fingerprint.get(fingerprint)
        if not crashes:
            return False
        return any(not burst.is_weak for burst in self._bursts(fingerprint, crashes))

    def targets_crashed_with(self, fingerprint: Fingerprint) -> frozenset[TargetId]:
        """Return the targets that crashed while a request on probation was in flight.

        The request is forwarded to other targets first: a second crash of the same
        target would not show whether the request or the target is at fault.
        """
        crashes = self._crashes_by_fingerprint.get(fingerprint)
        if not crashes or not self.is_on_probation(fingerprint):
            return frozenset()
        return frozenset(crash.target for crash in crashes)

    def record_response(self, fingerprint: Fingerprint) -> None:
        """Clear crash records of a request that a target has responded to.

        Records of a single crash with a single call in flight stay until there were
        ``RESPONSES_TO_CLEAR`` responses, because nothing else explains the crash. A
        quarantine stays, except one that follows from a single burst while that burst
        lasts: other targets still respond to a popular request during that time.
        """
        crashes = self._crashes_by_fingerprint.get(fingerprint)
        if (
            not crashes
            or self._stored_quarantine_end(fingerprint, self._clock.now()) is not None
        ):
            return
        bursts = self._bursts(fingerprint, crashes)
        if has_independent_crashes(bursts):
            return
        responses = self._responses_by_fingerprint.get(fingerprint, 0) + 1
        self._responses_by_fingerprint[fingerprint] = responses
        clearable = tuple(
            (crash.target, crash.start_time)
            for burst in bursts
            for crash in burst.crashes
            if burst.is_mass_crash
            or len(crash.fingerprints) > 1
            or responses >= RESPONSES_TO_CLEAR
        )
        notice = ClearNotice(fingerprint=fingerprint, crashes=clearable)
        if clearable and self._clear_records(notice):
            self._publish(notice)

    def notices(self) -> list[Notice]:
        """Return the notices that bring a daemon that has just joined up to date."""
        now = self._clock.now()
        self._expire(now)
        crash_notices: list[Notice] = [
            CrashNotice(
                target=crash.target,
                start_time=crash.start_time,
                fingerprints=crash.fingerprints,
                age=now - crash.time,
            )
            for crash in self._crashes
        ]
        clear_notices = [
            ClearNotice(fingerprint=fingerprint, crashes=((target, start_time),))
            for fingerprint, target, start_time in self._cleared
            if (target, start_time) in self._crash_by_key
        ]
        # Clear notices come first, so that a cleared record never takes effect.
        return [*clear_notices, *crash_notices]

    def quarantined(self) -> dict[Fingerprint, float]:
        """Return the quarantined fingerprints with their remaining seconds."""
        now = self._clock.now()
        self._expire(now)
        for fingerprint in tuple(self._crashes_by_fingerprint):
            self._evaluate(fingerprint, now)
        return {
            fingerprint: end - now
            for fingerprint, end in self._quarantine_end_by_fingerprint.items()
            if now < end
        }

    def _record_crash(self, notice: CrashNotice) -> bool:
        """Add the crash records of a notice; returns False for a known or old one."""
        key = (notice.target, notice.start_time)
        if key in self._seen or notice.age >= QUARANTINE_SECONDS:
            return False
        self._seen[key] = None
        if len(self._seen) > MAX_SEEN_CRASHES:
            self._seen.popitem(last=False)
        now = self._clock.now()
        self._expire(now)
        fingerprints = notice.fingerprints[:MAX_FINGERPRINTS_PER_CRASH]
        time = now - max(notice.age, 0.0)
        crash = TargetCrash(notice.target, notice.start_time, fingerprints, time)
        self._crash_by_key[key] = crash
        self._insert(crash)
        for fingerprint in fingerprints:
            if (fingerprint, *key) in self._cleared:
                continue
            self._responses_by_fingerprint.pop(fingerprint, None)
            crashes = self._crashes_by_fingerprint.setdefault(fingerprint, [])
            crashes.append(crash)
            crashes.sort(key=lambda each: each.time)
        if len(self._crashes) > MAX_CRASHES:
            self._drop_oldest_crash()
        return True

    def _insert(self, crash: TargetCrash) -> None:
        """Insert a crash in the order of time."""
        later: list[TargetCrash] = []
        while self._crashes and self._crashes[-1].time > crash.time:
            later.append(self._crashes.pop())
        self._crashes.append(crash)
        self._crashes.extend(reversed(later))

    def _clear_records(self, notice: ClearNotice) -> bool:
        """Clear the crash records of a notice; returns whether any was new.

        A record whose crash is not known yet will not be added later.
        """
        is_new = False
        for target, start_time in notice.crashes:
            key = (notice.fingerprint, target, start_time)
            if key in self._cleared:
                continue
            is_new = True
            self._cleared[key] = None
            self._clear_record(notice.fingerprint, (target, start_time))
        while len(self._cleared) > MAX_CLEARED_RECORDS:
            self._cleared.popitem(last=False)
        return is_new

    def _clear_record(
        self, fingerprint: Fingerprint, key: tuple[TargetId, float]
    ) -> None:
        crashes = self._crashes_by_fingerprint.get(fingerprint)
        # The daemon that sent the notice saw the response either while this burst
        # lasted, or before it received the notice of a later burst. Only in the first
        # case is the quarantine undone.
        if crashes and len(self._bursts(fingerprint, crashes)) == 1:
            self._quarantine_end_by_fingerprint.pop(fingerprint, None)
        self._remove_record(fingerprint, key)

    def _remove_record(
        self, fingerprint: Fingerprint, key: tuple[TargetId, float]
    ) -> None:
        crashes = self._crashes_by_fingerprint.get(fingerprint, [])
        kept = [crash for crash in crashes if (crash.target, crash.start_time) != key]
        if kept:
            self._crashes_by_fingerprint[fingerprint] = kept
        else:
            self._crashes_by_fingerprint.pop(fingerprint, None)
            self._responses_by_fingerprint.pop(fingerprint, None)

    def _stored_quarantine_end(
        self, fingerprint: Fingerprint, now: float
    ) -> float | None:
        """Return the end of a stored quarantine, None if there is none in force.

        Expired ones may still be stored behind longer ones, because ``_expire`` stops
        at the first that is in force.
        """
        end = self._quarantine_end_by_fingerprint.get(fingerprint)
        return end if end is not None and now < end else None

    def _evaluate(self, fingerprint: Fingerprint, now: float) -> float | None:
        """Return when the quarantine that follows from the crash records ends.

        None if the records do not call for one. The quarantine is stored once the
        last burst is over; before that, further crashes may still turn the burst into
        a mass crash.
        """
        crashes = self._crashes_by_fingerprint.get(fingerprint)
        if not crashes or len(crashes) < 2:
            return None
        bursts = self._bursts(fingerprint, crashes)
        seconds = quarantine_seconds(bursts)
        if seconds is None:
            return None
        last = crashes[-1].time
        end = last + seconds
        if now - last >= BURST_GAP_SECONDS and now < end:
            self._store_quarantine(fingerprint, end)
        return end

    def _bursts(
        self, fingerprint: Fingerprint, crashes: list[TargetCrash]
    ) -> list[CrashBurst]:
        return group_into_bursts(fingerprint, crashes, all_crashes=self._crashes)

    def _store_quarantine(self, fingerprint: Fingerprint, end: float) -> None:
        self._quarantine_end_by_fingerprint[fingerprint] = end
        self._quarantine_end_by_fingerprint.move_to_end(fingerprint)
        metrics.FINGERPRINTS_QUARANTINED.inc()
        while len(self._quarantine_end_by_fingerprint) > MAX_QUARANTINED:
            self._quarantine_end_by_fingerprint.popitem(last=False)

    def _expire(self, now: float) -> None:
        """Drop old crashes, and quarantines up to the first that is in force."""
        while self._crashes and now - self._crashes[0].time >= QUARANTINE_SECONDS:
            self._drop_oldest_crash()
        while self._quarantine_end_by_fingerprint:
            fingerprint, end = next(iter(self._quarantine_end_by_fingerprint.items()))
            if now < end:
                break
            del self._quarantine_end_by_fingerprint[fingerprint]

    def _drop_oldest_crash(self) -> None:
        crash = self._crashes.popleft()
        key = (crash.target, crash.start_time)
        del self._crash_by_key[key]
        for fingerprint in crash.fingerprints:
            self._remove_record(fingerprint, key)


def _refusal(reason: RefusalReason, retry_after: float) -> Refusal:
    return Refusal(reason=reason, executed=Executed.NO, retry_after=retry_after)
