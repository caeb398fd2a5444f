"""Calls of targets that report themselves: heartbeats and leaving."""

import json
from dataclasses import dataclass
from typing import Any
from urllib.parse import unquote

from .._internal.coordination.mesh.registration import TargetHeartbeat
from .._internal.ids import ServiceName, TargetId
from .._internal.protocol.http1 import HttpRequest, HttpResponse
from . import fields

_PATH = b"/v1/instances/"
_READY, _DRAINING = "ready", "draining"
_JSON = ((b"content-type", b"application/json"),)

ACKNOWLEDGED = HttpResponse(status=200, headers=_JSON, body=b"{}")


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetRemoved:
    """A target says that it ends; ``born`` is None if it does not say of which life."""

    target: TargetId
    born: int | None


@dataclass(frozen=True, slots=True, kw_only=True)
class MalformedReport:
    """A call that names no target; ``status`` is its answer."""

    status: int
    reason: str


def decode_report(
    request: HttpRequest,
) -> TargetHeartbeat | TargetRemoved | MalformedReport:
    """Return what a target says in ``request``."""
    path = request.target.partition(b"?")[0]
    name = path.removeprefix(_PATH)
    if not name or name == path or b"/" in name:
        return MalformedReport(status=404, reason="no such path")
    try:
        target = TargetId(unquote(name.decode("ascii")))
        if request.method == b"DELETE":
            return TargetRemoved(target=target, born=_born_of_removed(request.body))
        if request.method == b"PUT":
            return _report(target, json.loads(request.body))
    except (fields.MalformedError, ValueError, RecursionError) as error:
        return MalformedReport(status=400, reason=str(error))
    return MalformedReport(status=405, reason="neither PUT nor DELETE")


def _report(target: TargetId, document: Any) -> TargetHeartbeat:
    details = fields.table(document, "details")
    status = fields.table(document, "status")
    state = fields.text(status, "state")
    if state not in (_READY, _DRAINING):
        raise fields.MalformedError(f"state {state!r} is not known")
    slots = fields.integer(details, "capacity")
    if slots < 1:
        raise fields.MalformedError("capacity is below one")
    return TargetHeartbeat(
        target=target,
        start_time_ms=_born(document),
        sequence=fields.integer(status, "sequence"),
        service=ServiceName(fields.text(details, "service")),
        address=fields.text(document, "address"),
        slots=slots,
        leaving=state == _DRAINING,
        cold_seconds=fields.seconds(status, "coldLeftMs"),
    )


def _born(document: Any) -> int:
    # Some deployments do not send it; a target without it counts as the oldest.
    if isinstance(document, dict) and "born" not in document:
        return 0
    return fields.integer(document, "born")


def _born_of_removed(body: bytes) -> int | None:
    if not body.strip():
        return None
    document = json.loads(body)
    if not isinstance(document, dict) or "born" not in document:
        return None
    return fields.integer(document, "born")
