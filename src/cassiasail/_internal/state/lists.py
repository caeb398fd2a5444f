"""The two lists as rows, their digest, and changes between versions.

A row is a key and a map of fields. Keys are ``customer/C``, ``plan/P``,
``service/S``, ``route/S PATH`` and ``allowance/P S PATH``. The digest is the sum of
the row hashes modulo 2**128, so a change updates it in time proportional to the
change and the order of rows does not matter.
"""

import hashlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

import cbor2

from ..ids import NO_VERSION, CustomerId, PlanId, RoutePath, ServiceName, Version

Fields = Mapping[str, Any]
Rows = Mapping[str, Fields]

_DIGEST_MODULUS = 1 << 128


class CallClass(Enum):
    """Priority class of a route, highest first."""

    ORDER = "order"
    LOOKUP = "lookup"
    BULK = "bulk"


class Idempotency(Enum):
    """Whether a route may be called twice; AUTO follows the RFC 9110 methods."""

    AUTO = "auto"
    YES = "yes"
    NO = "no"


class KeyPolicy(Enum):
    """Whether calls to a route must carry an idempotency key."""

    OPTIONAL = "optional"
    REQUIRED = "required"


# Methods that RFC 9110 section 9.2.2 defines as idempotent.
IDEMPOTENT_METHODS = frozenset(("GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE"))


@dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """How calls below one path prefix of a service are treated.

    ``deadline`` is the default in seconds for calls that bring none.
    """

    service: ServiceName
    path: RoutePath
    call_class: CallClass
    deadline: float
    idempotency: Idempotency
    key_policy: KeyPolicy

    def is_idempotent(self, method: str) -> bool:
        """Return whether a call with ``method`` may be sent a second time."""
        if self.idempotency is Idempotency.AUTO:
            return method in IDEMPOTENT_METHODS
        return self.idempotency is Idempotency.YES


@dataclass(frozen=True, slots=True, kw_only=True)
class Allowance:
    """What a plan may use of one route, over the whole fleet.

    ``rate`` is in calls per second, ``burst`` and ``in_flight`` in calls and
    ``max_body`` in bytes of request body.
    """

    plan: PlanId
    service: ServiceName
    path: RoutePath
    rate: float
    burst: int
    in_flight: int
    max_body: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Customer:
    """A customer and its plan."""

    id: CustomerId
    plan: PlanId
    contact: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Lists:
    """Both lists at one version, as rows with their digest."""

    rows_by_key: Rows = field(default_factory=dict)
    digest: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class Delta:
    """The change from version ``base`` to ``version``; ``digest`` is the result's."""

    version: Version
    base: Version
    digest: int
    changed_by_key: Rows
    removed: tuple[str, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class Snapshot:
    """A complete version."""

    version: Version
    digest: int
    rows_by_key: Rows


def row_hash(key: str, fields: Fields) -> int:
    """Return the hash of one row, from its canonical CBOR form."""
    encoded = cbor2.dumps([key, dict(fields)], canonical=True)
    return int.from_bytes(hashlib.blake2b(encoded, digest_size=16).digest(), "big")


def digest_of(rows_by_key: Rows) -> int:
    """Return the digest of a complete set of rows."""
    hashes = (row_hash(key, fields) for key, fields in rows_by_key.items())
    return sum(hashes) % _DIGEST_MODULUS


def lists_from_rows(rows_by_key: Rows) -> Lists:
    """Return lists with a freshly computed digest."""
    return Lists(rows_by_key=dict(rows_by_key), digest=digest_of(rows_by_key))


def diff(
    old: Lists, new: Lists, *, base: Version = NO_VERSION, version: Version = NO_VERSION
) -> Delta:
    """Return the change that turns ``old`` into ``new``."""
    changed = {
        key: fields
        for key, fields in new.rows_by_key.items()
        if old.rows_by_key.get(key) != fields
    }
    removed = tuple(
        sorted(key for key in old.rows_by_key if key not in new.rows_by_key)
    )
    return Delta(
        version=version,
        base=base,
        digest=new.digest,
        changed_by_key=changed,
        removed=removed,
    )


def apply_changes(lists: Lists, changed: Rows, removed: Iterable[str]) -> Lists:
    """Return a copy of ``lists`` with rows set and removed; digest updated."""
    rows = dict(lists.rows_by_key)
    digest = lists.digest
    for key in removed:
        old = rows.pop(key, None)
        if old is not None:
            digest -= row_hash(key, old)
    for key, fields in changed.items():
        old = rows.get(key)
        if old is not None:
            digest -= row_hash(key, old)
        rows[key] = fields
        digest += row_hash(key, fields)
    return Lists(rows_by_key=rows, digest=digest % _DIGEST_MODULUS)


def plan_key(plan: str) -> str:
    """Return the row key of a plan."""
    return f"plan/{plan}"


def service_key(service: str) -> str:
    """Return the row key of a service."""
    return f"service/{service}"


def route_key(service: str, path: str) -> str:
    """Return the row key of a route."""
    return f"route/{service} {path}"


def split_key(key: str) -> tuple[str, tuple[str, ...]]:
    """Split a row key into its kind and names.

    ``split_key("route/array-ctl /setpoints")`` returns
    ``("route", ("array-ctl", "/setpoints"))``.
    """
    kind, _, names = key.partition("/")
    return kind, tuple(names.split(" "))
