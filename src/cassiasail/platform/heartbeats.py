"""Heartbeats of targets and requests to remove a target."""

import json
from dataclasses import dataclass
from typing import Any
from urllib.parse import unquote

from .._internal.coordination.mesh.registration import TargetHeartbeat
from .._internal.ids import ServiceName, TargetId
from .._internal.protocol.http1 import HttpRequest, HttpResponse
from .._internal.state import ranges
from .._internal.state.addresses import parse_address
from . import fields

_PATH_PREFIX = b"/v1/instances/"
_READY_STATE, _DRAINING_STATE = "ready", "draining"
_JSON_HEADERS = ((b"content-type", b"application/json"),)

ACKNOWLEDGED = HttpResponse(status=200, headers=_JSON_HEADERS, body=b"{}")


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetRemoval:
    """A request to remove a target.

    ``start_time_ms`` is the start time of the incarnation to remove, as Unix time in
    milliseconds; None if the request names no incarnation.
    """

    target: TargetId
    start_time_ms: int | None


@dataclass(frozen=True, slots=True, kw_only=True)
class MalformedHeartbeat:
    """A rejected request: the HTTP ``status`` to return and the ``reason`` to log."""

    status: int
    reason: str


def decode_heartbeat(
    request: HttpRequest,
) -> TargetHeartbeat | TargetRemoval | MalformedHeartbeat:
    """Decode a request of a target: PUT is a heartbeat, DELETE a removal."""
    path = request.target.partition(b"?")[0]
    target_name = path.removeprefix(_PATH_PREFIX)
    if not target_name or target_name == path or b"/" in target_name:
        return MalformedHeartbeat(status=404, reason="no such path")
    try:
        target = TargetId(ranges.name(unquote(target_name.decode("ascii"))))
        if request.method == b"DELETE":
            return TargetRemoval(
                target=target, start_time_ms=_decode_removal_start_time(request.body)
            )
        if request.method == b"PUT":
            return _decode_heartbeat_document(target, json.loads(request.body))
    except (fields.MalformedError, ValueError, RecursionError) as error:
        return MalformedHeartbeat(status=400, reason=str(error))
    return MalformedHeartbeat(status=405, reason="neither PUT nor DELETE")


def _decode_heartbeat_document(target: TargetId, document: Any) -> TargetHeartbeat:
    details = fields.table(document, "details")
    status = fields.table(document, "status")
    state = fields.text(status, "state")
    if state not in (_READY_STATE, _DRAINING_STATE):
        raise fields.MalformedError("state is unknown")
    return TargetHeartbeat(
        target=target,
        start_time_ms=_decode_start_time(document),
        sequence=fields.integer(status, "sequence"),
        service=ServiceName(ranges.name(fields.value(details, "service"))),
        address=parse_address(fields.text(document, "address")),
        slots=fields.integer(details, "capacity", 1, ranges.MAX_SLOTS),
        leaving=state == _DRAINING_STATE,
        cold_seconds=fields.seconds(status, "coldLeftMs"),
    )


def _decode_start_time(document: Any) -> int:
    # Some deployments send no start time; a target without one counts as the oldest.
    if isinstance(document, dict) and "born" not in document:
        return 0
    return fields.integer(document, "born", 0, ranges.MAX_TIMESTAMP_MS)


def _decode_removal_start_time(body: bytes) -> int | None:
    if not body.strip():
        return None
    document = json.loads(body)
    if not isinstance(document, dict) or "born" not in document:
        return None
    return fields.integer(document, "born", 0, ranges.MAX_TIMESTAMP_MS)
