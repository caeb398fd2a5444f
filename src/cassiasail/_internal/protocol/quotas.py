"""Messages by which daemons ask shard owners for allowance tokens and permits.

Every message has ``to_wire``, a plain list for CBOR, and ``from_wire``, which raises
``ProtocolError`` on anything that ``to_wire`` cannot have produced. Lines name their
asker only when a message is forwarded; an empty asker stands for the sender.
"""

from dataclasses import dataclass
from typing import Any

from ...exceptions import ProtocolError
from ..ids import CustomerId, DaemonId, DataCentre, RoutePath, ServiceName
from ..state.quotas import Report, ShardId, Wanted

# Bounds a message to well under 1 MB whatever a peer sends.
MAX_LINES = 4096
MAX_TEXT = 1024
MAX_COUNT = 1 << 53


@dataclass(frozen=True, slots=True, kw_only=True)
class OwnerRow:
    """Who owns a shard, at which revision of the row in the store."""

    shard: ShardId
    owner: DaemonId
    revision: int


@dataclass(frozen=True, slots=True, kw_only=True)
class GrantLine:
    """Tokens and permits granted, and how many of each the shard retains."""

    asker: str
    serial: int
    shard: ShardId
    tokens: int
    permits: int
    left: int
    permits_left: int


@dataclass(frozen=True, slots=True, kw_only=True)
class QuotaAsk:
    """Asks one shard for tokens and permits and reports on earlier grants.

    ``permit_ms`` is the validity of permits from the send time of the ask.
    ``forwarded`` is set by an owner that asks on behalf of others; such an ask is
    not forwarded again. ``known`` is the digest of the owners that the sender knows.
    """

    asker: str
    shard: ShardId
    forwarded: bool
    permit_ms: int
    known: int
    wanted: tuple[Wanted, ...]
    reports: tuple[Report, ...] = ()

    def to_wire(self) -> list[Any]:
        """Return the message as a plain list."""
        wanted = [_wanted_to_wire(line) for line in self.wanted]
        reports = [_report_to_wire(report) for report in self.reports]
        return [
            "quota-ask",
            self.asker,
            [*self.shard],
            self.forwarded,
            self.permit_ms,
            self.known,
            wanted,
            reports,
        ]

    @classmethod
    def from_wire(cls, wire: Any) -> "QuotaAsk":
        """Return the message that ``wire`` encodes."""
        fields = _list(wire, 8, kind="quota-ask")
        return cls(
            asker=_text(fields[1]),
            shard=_shard(fields[2]),
            forwarded=_flag(fields[3]),
            permit_ms=_count(fields[4]),
            known=_count(fields[5]),
            wanted=tuple(_wanted(line) for line in _lines(fields[6])),
            reports=tuple(_report(line) for line in _lines(fields[7])),
        )


@dataclass(frozen=True, slots=True, kw_only=True)
class QuotaGrant:
    """Answers an ask; ``owned`` is false when the asked daemon lacks the shard.

    ``owners`` lists the owners known to the answering daemon when ``owned`` is false
    or when the asker knows less.
    """

    owned: bool
    lines: tuple[GrantLine, ...] = ()
    owners: tuple[OwnerRow, ...] = ()

    def to_wire(self) -> list[Any]:
        """Return the message as a plain list."""
        lines = [
            [
                *(g.asker, g.serial, [*g.shard]),
                *(g.tokens, g.permits, g.left, g.permits_left),
            ]
            for g in self.lines
        ]
        owners = [[[*row.shard], row.owner, row.revision] for row in self.owners]
        return ["quota-grant", self.owned, lines, owners]

    @classmethod
    def from_wire(cls, wire: Any) -> "QuotaGrant":
        """Return the message that ``wire`` encodes."""
        fields = _list(wire, 4, kind="quota-grant")
        return cls(
            owned=_flag(fields[1]),
            lines=tuple(_grant_line(line) for line in _lines(fields[2])),
            owners=tuple(_owner_row(line) for line in _lines(fields[3])),
        )


@dataclass(frozen=True, slots=True, kw_only=True)
class QuotaReturn:
    """Reports on earlier grants without asking; answered by an empty grant."""

    asker: str
    reports: tuple[Report, ...]

    def to_wire(self) -> list[Any]:
        """Return the message as a plain list."""
        reports = [_report_to_wire(report) for report in self.reports]
        return ["quota-return", self.asker, reports]

    @classmethod
    def from_wire(cls, wire: Any) -> "QuotaReturn":
        """Return the message that ``wire`` encodes."""
        fields = _list(wire, 3, kind="quota-return")
        return cls(
            asker=_text(fields[1]),
            reports=tuple(_report(line) for line in _lines(fields[2])),
        )


QuotaMessage = QuotaAsk | QuotaGrant | QuotaReturn


def quota_message_from_wire(wire: Any) -> QuotaMessage:
    """Return the quota message that ``wire`` encodes, whatever its kind."""
    kind = wire[0] if isinstance(wire, list) and wire else None
    if kind == "quota-ask":
        return QuotaAsk.from_wire(wire)
    if kind == "quota-grant":
        return QuotaGrant.from_wire(wire)
    if kind == "quota-return":
        return QuotaReturn.from_wire(wire)
    raise ProtocolError(f"unknown quota message {kind!r}")


def _wanted_to_wire(line: Wanted) -> list[Any]:
    counts = [line.need, line.extra, line.permit_need, line.permit_extra]
    return [line.asker, line.serial, *line.key, *counts]


def _wanted(wire: Any) -> Wanted:
    fields = _list(wire, 9)
    return Wanted(
        asker=_text(fields[0]),
        serial=_count(fields[1]),
        key=(
            CustomerId(_text(fields[2])),
            ServiceName(_text(fields[3])),
            RoutePath(_text(fields[4])),
        ),
        need=_count(fields[5]),
        extra=_count(fields[6]),
        permit_need=_count(fields[7]),
        permit_extra=_count(fields[8]),
    )


def _report_to_wire(report: Report) -> list[Any]:
    counts = [report.spent, report.returned, report.permits_returned]
    return [report.asker, report.serial, [*report.shard], *counts]


def _report(wire: Any) -> Report:
    fields = _list(wire, 6)
    return Report(
        asker=_text(fields[0]),
        serial=_count(fields[1]),
        shard=_shard(fields[2]),
        spent=_count(fields[3]),
        returned=_count(fields[4]),
        permits_returned=_count(fields[5]),
    )


def _grant_line(wire: Any) -> GrantLine:
    fields = _list(wire, 7)
    return GrantLine(
        asker=_text(fields[0]),
        serial=_count(fields[1]),
        shard=_shard(fields[2]),
        tokens=_count(fields[3]),
        permits=_count(fields[4]),
        left=_count(fields[5]),
        permits_left=_count(fields[6]),
    )


def _owner_row(wire: Any) -> OwnerRow:
    fields = _list(wire, 3)
    return OwnerRow(
        shard=_shard(fields[0]),
        owner=DaemonId(_text(fields[1])),
        revision=_count(fields[2]),
    )


def _shard(wire: Any) -> ShardId:
    fields = _list(wire, 2)
    return ShardId(DataCentre(_text(fields[0])), _count(fields[1]))


def _list(wire: Any, length: int, *, kind: str | None = None) -> list[Any]:
    if not isinstance(wire, list) or len(wire) != length:
        raise ProtocolError(f"expected a list of {length} fields")
    if kind is not None and wire[0] != kind:
        raise ProtocolError(f"expected a message of kind {kind}")
    return wire


def _lines(wire: Any) -> list[Any]:
    if not isinstance(wire, list) or len(wire) > MAX_LINES:
        raise ProtocolError(f"expected a list of at most {MAX_LINES} lines")
    return wire


def _text(wire: Any) -> str:
    if not isinstance(wire, str) or len(wire) > MAX_TEXT:
        raise ProtocolError(f"expected a text of at most {MAX_TEXT} characters")
    return wire


def _flag(wire: Any) -> bool:
    if not isinstance(wire, bool):
        raise ProtocolError("expected true or false")
    return wire


def _count(wire: Any) -> int:
    if isinstance(wire, bool) or not isinstance(wire, int):
        raise ProtocolError("expected a whole number")
    if not 0 <= wire <= MAX_COUNT:
        raise ProtocolError(f"expected a number from 0 to {MAX_COUNT}")
    return wire
