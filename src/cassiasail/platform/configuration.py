"""Decoding of the operator's configuration from its row in the platform's store."""

import json
from typing import Any

from .._internal.ids import ServiceName, Version
from .._internal.state.mesh_config import (
    DEFAULT_MAX_ATTEMPTS,
    ClientLimits,
    ConfigRejected,
    MeshConfig,
    MeshRoute,
    MeshService,
    RetrySafety,
    WeightedService,
    validate,
)
from . import fields

# Table and key of the row that holds the newest configuration.
TABLE = "op"
KEY = "config"

# An upload has a large body and is otherwise handled like an unsafe request.
_RETRY_SAFETY_BY_KIND = {
    "safe": RetrySafety.SAFE,
    "unsafe": RetrySafety.UNSAFE,
    "upload": RetrySafety.UNSAFE,
}


def decode_configuration(data: bytes) -> MeshConfig | ConfigRejected:
    """Return the configuration in ``data``, or its faults if it must not be applied."""
    try:
        document = json.loads(data)
        config = MeshConfig(
            version=Version(int(fields.text(document, "version"), 16)),
            routes=tuple(
                _decode_route(name, entry)
                for name, entry in fields.table(document, "routes").items()
            ),
            service_by_name={
                ServiceName(name): _decode_service(name, entry)
                for name, entry in fields.table(document, "services").items()
            },
            limits=_decode_limits(fields.table(document, "limits")),
        )
    except (fields.MalformedError, ValueError, RecursionError) as error:
        return ConfigRejected(faults=(str(error),))
    return validate(config)


def _decode_route(name: str, entry: Any) -> MeshRoute:
    kind = fields.text(entry, "kind")
    max_attempts = (
        fields.integer(entry, "maxAttempts")
        if "maxAttempts" in entry
        else DEFAULT_MAX_ATTEMPTS
    )
    return MeshRoute(
        name=name,
        host=fields.text(entry, "hostname").lower(),
        prefix=fields.text(entry, "prefix"),
        # Rejecting the configuration for a kind that only newer builds know would stop
        # the whole fleet. Only safe requests may run twice, so the route is unsafe.
        retry_safety=_RETRY_SAFETY_BY_KIND.get(kind, RetrySafety.UNSAFE),
        unknown_kind=None if kind in _RETRY_SAFETY_BY_KIND else kind,
        timeout=fields.seconds(entry, "timeoutMs"),
        latency_objective=fields.seconds(entry, "sloMs"),
        priority=fields.integer(entry, "priority") if "priority" in entry else 0,
        max_attempts=max_attempts,
        split=_decode_traffic_split(name, entry),
    )


def _decode_traffic_split(name: str, entry: Any) -> tuple[WeightedService, ...]:
    if "trafficSplit" not in entry:
        service = ServiceName(fields.text(entry, "service"))
        return (WeightedService(service=service, weight=1.0),)
    shares = entry["trafficSplit"]
    if not isinstance(shares, list):
        raise fields.MalformedError(f"route {name}: trafficSplit is not a list")
    return tuple(
        WeightedService(
            service=ServiceName(fields.text(share, "service")),
            weight=fields.number(share, "weight"),
        )
        for share in shares
    )


def _decode_service(name: str, entry: Any) -> MeshService:
    return MeshService(
        name=ServiceName(name),
        health_path=fields.text(entry, "healthCheck"),
        max_connections=fields.integer(entry, "maxConnections"),
    )


def _decode_limits(entry: Any) -> ClientLimits:
    return ClientLimits(
        header_bytes=fields.integer(entry, "maxHeaderBytes"),
        body_bytes=fields.integer(entry, "maxBodyBytes"),
        header_seconds=fields.seconds(entry, "headerTimeoutMs"),
        idle_seconds=fields.seconds(entry, "idleTimeoutMs"),
    )
