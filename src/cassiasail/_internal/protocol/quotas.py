"""Messages by which daemons request allowance tokens and permits from shard owners.

Every message has ``to_wire``, which returns a plain list for CBOR, and ``from_wire``,
which raises ``ProtocolError`` on anything that ``to_wire`` cannot have produced. Lines
and reports name their requester only in a forwarded message; an empty requester stands
for the sender.
"""

from dataclasses import dataclass
from typing import Any

from ...exceptions import ProtocolError
from ..ids import CustomerId, DaemonId, DataCentre, RoutePath, ServiceName
from ..state.quotas import ShardId, TokenRequestLine, UsageReport

# Keep a message well under 1 MB, whatever a peer sends. The text length is in
# characters.
MAX_LINES = 4096
MAX_TEXT_LENGTH = 1024
MAX_COUNT = 1 << 53


@dataclass(frozen=True, slots=True, kw_only=True)
class OwnerRow:
    """The owner of a shard and the revision of the store row that names it."""

    shard: ShardId
    owner: DaemonId
    revision: int


@dataclass(frozen=True, slots=True, kw_only=True)
class GrantLine:
    """Tokens and permits granted for one line, and how many the shard has left."""

    requester: str
    serial: int
    shard: ShardId
    tokens: int
    permits: int
    tokens_left: int
    permits_left: int


@dataclass(frozen=True, slots=True, kw_only=True)
class TokenRequest:
    """Requests tokens and permits of one shard and reports on earlier grants.

    ``permit_ms`` is the validity of permits, counted from the time at which the request
    is sent. ``forwarded`` is set by an owner that requests tokens on behalf of other
    daemons; such a request is not forwarded again. ``directory_digest`` is the digest
    of the sender's owner directory.
    """

    requester: str
    shard: ShardId
    forwarded: bool
    permit_ms: int
    directory_digest: int
    lines: tuple[TokenRequestLine, ...]
    reports: tuple[UsageReport, ...] = ()

    def to_wire(self) -> list[Any]:
        """Return the message as a plain list."""
        lines = [_line_to_wire(line) for line in self.lines]
        reports = [_report_to_wire(report) for report in self.reports]
        return [
            "quota-ask",
            self.requester,
            [*self.shard],
            self.forwarded,
            self.permit_ms,
            self.directory_digest,
            lines,
            reports,
        ]

    @classmethod
    def from_wire(cls, wire: Any) -> "TokenRequest":
        """Return the message that ``wire`` encodes."""
        fields = _check_list(wire, 8, kind="quota-ask")
        return cls(
            requester=_check_text(fields[1]),
            shard=_read_shard(fields[2]),
            forwarded=_check_flag(fields[3]),
            permit_ms=_check_count(fields[4]),
            directory_digest=_check_count(fields[5]),
            lines=tuple(_read_line(line) for line in _check_lines(fields[6])),
            reports=tuple(_read_report(line) for line in _check_lines(fields[7])),
        )


@dataclass(frozen=True, slots=True, kw_only=True)
class QuotaResponse:
    """The response to a token request or to a batch of usage reports.

    ``is_owner`` is false if the responding daemon does not own the requested shard.
    ``owners`` is the owner directory of the responding daemon; it is sent if
    ``is_owner`` is false or if the requester's directory has a lower digest.
    """

    is_owner: bool
    lines: tuple[GrantLine, ...] = ()
    owners: tuple[OwnerRow, ...] = ()

    def to_wire(self) -> list[Any]:
        """Return the message as a plain list."""
        lines = [
            [
                *(line.requester, line.serial, [*line.shard]),
                *(line.tokens, line.permits, line.tokens_left, line.permits_left),
            ]
            for line in self.lines
        ]
        owners = [[[*row.shard], row.owner, row.revision] for row in self.owners]
        return ["quota-grant", self.is_owner, lines, owners]

    @classmethod
    def from_wire(cls, wire: Any) -> "QuotaResponse":
        """Return the message that ``wire`` encodes."""
        fields = _check_list(wire, 4, kind="quota-grant")
        return cls(
            is_owner=_check_flag(fields[1]),
            lines=tuple(_read_grant_line(line) for line in _check_lines(fields[2])),
            owners=tuple(_read_owner_row(line) for line in _check_lines(fields[3])),
        )


@dataclass(frozen=True, slots=True, kw_only=True)
class UsageReportBatch:
    """Usage reports without a token request; the response to them has no lines."""

    requester: str
    reports: tuple[UsageReport, ...]

    def to_wire(self) -> list[Any]:
        """Return the message as a plain list."""
        reports = [_report_to_wire(report) for report in self.reports]
        return ["quota-return", self.requester, reports]

    @classmethod
    def from_wire(cls, wire: Any) -> "UsageReportBatch":
        """Return the message that ``wire`` encodes."""
        fields = _check_list(wire, 3, kind="quota-return")
        return cls(
            requester=_check_text(fields[1]),
            reports=tuple(_read_report(line) for line in _check_lines(fields[2])),
        )


QuotaMessage = TokenRequest | QuotaResponse | UsageReportBatch


def quota_message_from_wire(wire: Any) -> QuotaMessage:
    """Return the quota message of any kind that ``wire`` encodes."""
    kind = wire[0] if isinstance(wire, list) and wire else None
    if kind == "quota-ask":
        return TokenRequest.from_wire(wire)
    if kind == "quota-grant":
        return QuotaResponse.from_wire(wire)
    if kind == "quota-return":
        return UsageReportBatch.from_wire(wire)
    raise ProtocolError(f"unknown quota message {kind!r}")


def _line_to_wire(line: TokenRequestLine) -> list[Any]:
    counts = [
        line.tokens_needed,
        line.tokens_prefetch,
        line.permits_needed,
        line.permits_prefetch,
    ]
    return [line.requester, line.serial, *line.key, *counts]


def _read_line(wire: Any) -> TokenRequestLine:
    fields = _check_list(wire, 9)
    return TokenRequestLine(
        requester=_check_text(fields[0]),
        serial=_check_count(fields[1]),
        key=(
            CustomerId(_check_text(fields[2])),
            ServiceName(_check_text(fields[3])),
            RoutePath(_check_text(fields[4])),
        ),
        tokens_needed=_check_count(fields[5]),
        tokens_prefetch=_check_count(fields[6]),
        permits_needed=_check_count(fields[7]),
        permits_prefetch=_check_count(fields[8]),
    )


def _report_to_wire(report: UsageReport) -> list[Any]:
    counts = [report.tokens_spent, report.tokens_returned, report.permits_returned]
    return [report.requester, report.serial, [*report.shard], *counts]


def _read_report(wire: Any) -> UsageReport:
    fields = _check_list(wire, 6)
    return UsageReport(
        requester=_check_text(fields[0]),
        serial=_check_count(fields[1]),
        shard=_read_shard(fields[2]),
        tokens_spent=_check_count(fields[3]),
        tokens_returned=_check_count(fields[4]),
        permits_returned=_check_count(fields[5]),
    )


def _read_grant_line(wire: Any) -> GrantLine:
    fields = _check_list(wire, 7)
    return GrantLine(
        requester=_check_text(fields[0]),
        serial=_check_count(fields[1]),
        shard=_read_shard(fields[2]),
        tokens=_check_count(fields[3]),
        permits=_check_count(fields[4]),
        tokens_left=_check_count(fields[5]),
        permits_left=_check_count(fields[6]),
    )


def _read_owner_row(wire: Any) -> OwnerRow:
    fields = _check_list(wire, 3)
    return OwnerRow(
        shard=_read_shard(fields[0]),
        owner=DaemonId(_check_text(fields[1])),
        revision=_check_count(fields[2]),
    )


def _read_shard(wire: Any) -> ShardId:
    fields = _check_list(wire, 2)
    return ShardId(DataCentre(_check_text(fields[0])), _check_count(fields[1]))


def _check_list(wire: Any, length: int, *, kind: str | None = None) -> list[Any]:
    if not isinstance(wire, list) or len(wire) != length:
        raise ProtocolError(f"quota message: expected a list of {length} fields")
    if kind is not None and wire[0] != kind:
        raise ProtocolError(f"quota message: expected the kind {kind}")
    return wire


def _check_lines(wire: Any) -> list[Any]:
    if not isinstance(wire, list) or len(wire) > MAX_LINES:
        raise ProtocolError(
            f"quota message: expected a list of at most {MAX_LINES} lines"
        )
    return wire


def _check_text(wire: Any) -> str:
    if not isinstance(wire, str) or len(wire) > MAX_TEXT_LENGTH:
        raise ProtocolError(
            f"quota message: expected a string of at most {MAX_TEXT_LENGTH} characters"
        )
    return wire


def _check_flag(wire: Any) -> bool:
    if not isinstance(wire, bool):
        raise ProtocolError("quota message: expected true or false")
    return wire


def _check_count(wire: Any) -> int:
    if isinstance(wire, bool) or not isinstance(wire, int):
        raise ProtocolError("quota message: expected an integer")
    if not 0 <= wire <= MAX_COUNT:
        raise ProtocolError(f"quota message: expected an integer from 0 to {MAX_COUNT}")
    return wire
