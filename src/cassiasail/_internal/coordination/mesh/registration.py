"""The target beside this daemon, from what it reports of itself.

Reports may arrive late, also from a former life of the target. A report counts only
if it is newer than all that is known: by the start of the target, then by its
sequence number. A target that is leaving or gone does not come back in the same life.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from ...ids import ServiceName, TargetId
from ...state.hosts import HostRecord, TargetState

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


class ReportVerdict(Enum):
    """What became of a report; the value is the one in logs."""

    TAKEN = "taken"
    STALE = "stale"
    OTHER_ADDRESS = "other_address"


Life = tuple[TargetId, int]


class TargetRegistration:
    """The current target of one VM; ``changed`` is called after each change."""

    def __init__(
        self, *, address: str, changed: Callable[[TargetReport | None], None]
    ) -> None:
        self._address = address
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
        life = (report.target, report.born)
        if report.born < self._newest_born:
            return ReportVerdict.STALE
        if life in self._ended and not report.leaving:
            return ReportVerdict.STALE
        current = self.current
        same_life = current is not None and life == (current.target, current.born)
        if same_life and current is not None and report.sequence <= current.sequence:
            return ReportVerdict.STALE
        self._newest_born = report.born
        if report.leaving:
            self._end(life)
        self.current = report
        self._silent = False
        self._changed(report)
        return ReportVerdict.TAKEN

    def remove(self, target: TargetId, born: int | None) -> ReportVerdict:
        """Take the notice that ``target`` ends; it takes no new requests."""
        current = self.current
        if current is None or current.target != target:
            return ReportVerdict.STALE
        if born is not None and born != current.born:
            return ReportVerdict.STALE
        self._end((current.target, current.born))
        self.current = None
        self._changed(None)
        return ReportVerdict.TAKEN

    def lose(self) -> None:
        """Forget a target that stopped reporting; it may report again."""
        self.current = None
        self._silent = True
        self._changed(None)

    def recall(self, record: HostRecord) -> None:
        """Take over from the store what a former life of this daemon knew.

        A target whose daemon was restarted goes on; one that has been leaving does
        not come back by a late report.
        """
        if record.state not in (TargetState.LEAVING, TargetState.ABSENT):
            return
        life = (record.target, record.born)
        self._end(life)
        current = self.current
        if current is not None and (current.target, current.born) == life:
            self.current = None
            self._changed(None)

    def _end(self, life: Life) -> None:
        self._ended[life] = None
        while len(self._ended) > MAX_ENDED:
            del self._ended[next(iter(self._ended))]
