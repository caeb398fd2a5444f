"""Decoding of the operator's configuration from its row in the platform's store."""

import json
from typing import Any

from .._internal.ids import AccountName, ServiceName, Version
from .._internal.state import ranges
from .._internal.state.client_accounts import (
    AccountQuota,
    ClientAccount,
    ClientAccounts,
)
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

# Versions of 128 bits, as wide as any in use elsewhere.
MAX_VERSION = (1 << 128) - 1
# Limit of attempts, connections and priorities, none of which comes near it.
MAX_COUNT = 1 << 20
# Limit of the sizes that a client may send, far above the memory of a VM.
MAX_LIMIT_BYTES = 1 << 40
# Keys of one client account, far more than are in use while they are replaced.
MAX_KEYS_PER_ACCOUNT = 10_000
# Table and key of the row that holds the newest configuration.
TABLE = "op"
KEY = "config"

# An upload has a large body and is otherwise handled like an unsafe request. A download
# has a large response and is otherwise handled like a safe one.
_RETRY_SAFETY_BY_KIND = {
    "safe": RetrySafety.SAFE,
    "unsafe": RetrySafety.UNSAFE,
    "upload": RetrySafety.UNSAFE,
    "download": RetrySafety.SAFE,
}


def decode_configuration(data: bytes) -> MeshConfig | ConfigRejected:
    """Return the configuration in ``data``, or its faults if it must not be applied."""
    try:
        document = json.loads(data)
        config = MeshConfig(
            version=_decode_version(document),
            routes=tuple(
                _decode_route(ranges.name(name), entry)
                for name, entry in fields.table(document, "routes").items()
            ),
            service_by_name={
                ServiceName(ranges.name(name)): _decode_service(name, entry)
                for name, entry in fields.table(document, "services").items()
            },
            limits=_decode_limits(fields.table(document, "limits")),
            accounts=_decode_accounts(document),
        )
    except (fields.MalformedError, ValueError, RecursionError) as error:
        return ConfigRejected(faults=(str(error),))
    return validate(config)


def _decode_version(document: Any) -> Version:
    digits = fields.text(document, "version")
    return Version(ranges.integer(int(digits, 16), high=MAX_VERSION))


def _decode_route(name: str, entry: Any) -> MeshRoute:
    kind = fields.text(entry, "kind")
    max_attempts = (
        fields.integer(entry, "maxAttempts", high=MAX_COUNT)
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
        priority=fields.integer(entry, "priority", high=MAX_COUNT)
        if "priority" in entry
        else 0,
        max_attempts=max_attempts,
        split=_decode_traffic_split(name, entry),
        public=fields.flag(entry, "public") if "public" in entry else False,
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
        health_path=_decode_path(entry, "healthCheck"),
        max_connections=fields.integer(entry, "maxConnections", high=MAX_COUNT),
    )


def _decode_accounts(document: Any) -> ClientAccounts | None:
    """Return the client accounts, None if requests need no key."""
    if "tenants" not in document:
        return None
    return ClientAccounts(
        account_by_name={
            AccountName(ranges.name(name)): _decode_account(name, entry)
            for name, entry in fields.table(document, "tenants").items()
        }
    )


def _decode_account(name: str, entry: Any) -> ClientAccount:
    keys = fields.value(entry, "apiKeys")
    if not isinstance(keys, list) or len(keys) > MAX_KEYS_PER_ACCOUNT:
        raise fields.MalformedError(f"account {name}: apiKeys is not a list of keys")
    rate = _optional_number(entry, "ratePerS")
    quota = AccountQuota(rate=rate, burst=_optional_number(entry, "burst"))
    return ClientAccount(
        name=AccountName(name),
        keys=tuple(ranges.name(key) for key in keys),
        priority=fields.integer(entry, "priority", high=MAX_COUNT)
        if "priority" in entry
        else 0,
        # A rate of 0 stands for no limit.
        quota=quota if rate else None,
    )


def _optional_number(entry: Any, name: str) -> float:
    return fields.number(entry, name) if name in entry else 0.0


def _decode_path(entry: Any, name: str) -> str:
    """Return a path that can stand in the first line of a request."""
    path = fields.text(entry, name)
    if not path.isascii() or " " in path:
        raise fields.MalformedError(f"{name} is not a path")
    return path


def _decode_limits(entry: Any) -> ClientLimits:
    return ClientLimits(
        header_bytes=fields.integer(entry, "maxHeaderBytes", high=MAX_LIMIT_BYTES),
        body_bytes=fields.integer(entry, "maxBodyBytes", high=MAX_LIMIT_BYTES),
        header_seconds=fields.seconds(entry, "headerTimeoutMs"),
        idle_seconds=fields.seconds(entry, "idleTimeoutMs"),
    )
