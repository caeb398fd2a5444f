"""The target beside this daemon, from what it reports of itself.

Reports may arrive late, also from a former life of the target. A report counts only
if it is newer than all that is known: by the start of the target, then by its
sequence number. A target that is leaving or gone does not come back in the same life.

A daemon that has just started may have acknowledged in its former life that the target
leaves, and the store may not know. Until late reports can no longer arrive, the first
one of a target is not believed alone: its health check or a newer report confirms it.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from ...ids import ServiceName, TargetId
from ...state.hosts import HostRecord, Life, TargetState

# Sequence number of a report that was made up from the stored record.
BEFORE_ALL_REPORTS = -1
# Lives of targets remembered as ended, against late reports.
MAX_ENDED = 64


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetReport:
    """What a target says of itself.

    ``born`` is the Unix time in milliseconds of its start, 0 if it does not say;
    ``cold_seconds`` is how much longer it is slow after its start.
    """

    target: TargetId
    born: int
    sequence: int
    service: ServiceName
    address: str
    slots: int
    leaving: bool
    cold_seconds: float

    @property
    def life(self) -> Life:
        """One start of one target."""
        return self.target, self.born


class ReportVerdict(Enum):
    """What became of a report; the value is the one in logs."""

    TAKEN = "taken"
    STALE = "stale"
    OTHER_ADDRESS = "other_address"
    UNCONFIRMED = "unconfirmed"


class TargetRegistration:
    """The current target of one VM; ``changed`` is called after each change.

    ``cautious`` tells whether reports meant for a former life of the daemon may still
    arrive.
    """

    def __init__(
        self,
        *,
        address: str,
        changed: Callable[[TargetReport | None], None],
        cautious: Callable[[], bool],
    ) -> None:
        self._address = address
        self._cautious = cautious
        self._unconfirmed: TargetReport | None = None
        self._changed = changed
        self._ended: dict[Life, None] = {}
        self._newest_born = 0
        self._silent = False
        self.current: TargetReport | None = None

    @property
    def state(self) -> TargetState:
        """Whether the target takes new requests."""
        if self.current is None:
            return TargetState.SUSPENDED if self._silent else TargetState.ABSENT
        return TargetState.LEAVING if self.current.leaving else TargetState.READY

    def report(self, report: TargetReport) -> ReportVerdict:
        """Take a report of a target unless it is older than what is known."""
        if report.address != self._address:
            return ReportVerdict.OTHER_ADDRESS
        life = report.life
        if report.born < self._newest_born:
            return ReportVerdict.STALE
        if life in self._ended and not report.leaving:
            return ReportVerdict.STALE
        current = self.current
        if (
            current is not None
            and current.life == life
            and report.sequence <= current.sequence
        ):
            return ReportVerdict.STALE
        if self._needs_confirmation(report):
            self._unconfirmed = report
            return ReportVerdict.UNCONFIRMED
        self._take(report)
        return ReportVerdict.TAKEN

    def confirm(self, report: TargetReport) -> None:
        """Believe ``report``, whose target says that it is not leaving."""
        if self._unconfirmed == report:
            self._take(report)

    def _needs_confirmation(self, report: TargetReport) -> bool:
        if report.leaving or self.current is not None or not self._cautious():
            return False
        before = self._unconfirmed
        newer = (
            before is not None
            and before.sequence != BEFORE_ALL_REPORTS
            and before.life == report.life
            and before.sequence < report.sequence
        )
        return not newer

    def _take(self, report: TargetReport) -> None:
        self._newest_born = report.born
        self._unconfirmed = None
        if report.leaving:
            self._end(report.life)
        self.current = report
        self._silent = False
        self._changed(report)

    def remove(self, target: TargetId, born: int | None) -> ReportVerdict:
        """Take the notice that ``target`` ends; it takes no new requests."""
        current = self.current or self._unconfirmed
        if current is None or current.target != target:
            return ReportVerdict.STALE
        if born is not None and born != current.born:
            return ReportVerdict.STALE
        self._end(current.life)
        self.current = self._unconfirmed = None
        self._changed(None)
        return ReportVerdict.TAKEN

    def lose(self) -> None:
        """Forget a target that stopped reporting; it may report again."""
        self.current = None
        self._silent = True
        self._changed(None)

    def recall(self, record: HostRecord) -> TargetReport | None:
        """Take over from the store what a former life of this daemon knew.

        A target whose daemon was restarted goes on; one that has been leaving does
        not come back by a late report. Returns the report to be confirmed by a health
        check if the target may be used again without waiting for its next one.
        """
        life = record.life
        current = self.current
        if record.state in (TargetState.LEAVING, TargetState.ABSENT):
            self._end(life)
            self._unconfirmed = None
            if current is not None and current.life == life:
                self.current = None
                self._changed(None)
            return None
        if current is not None or self._unconfirmed is not None:
            return None
        self._unconfirmed = TargetReport(
            target=record.target,
            born=record.born,
            sequence=BEFORE_ALL_REPORTS,
            service=record.service,
            address=self._address,
            slots=record.slots,
            leaving=False,
            cold_seconds=0.0,
        )
        return self._unconfirmed

    def _end(self, life: Life) -> None:
        self._ended[life] = None
        while len(self._ended) > MAX_ENDED:
            del self._ended[next(iter(self._ended))]
