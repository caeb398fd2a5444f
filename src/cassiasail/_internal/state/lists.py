"""Contents of the two list files as rows, their digest, and changes between versions.

The list files are ``plans.ini`` (services, routes, plans and allowances) and
``customers.ini``. Each section of a file becomes one row: a key and a map of fields.
The keys are ``customer/C``, ``plan/P``, ``service/S``, ``route/S PATH`` and
``allowance/P S PATH``, where C, P and S are the names of a customer, a plan and a
service. The digest is the sum of the row hashes modulo 2**128. It does not depend on
the order of the rows, and updating it takes time proportional to the size of the
change.
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
    """Priority class of a route's calls, highest priority first."""

    ORDER = "order"
    LOOKUP = "lookup"
    BULK = "bulk"


class Idempotency(Enum):
    """Whether a call to a route may be sent twice; AUTO depends on the HTTP method.

    With AUTO, the methods that RFC 9110 defines as idempotent may be sent twice.
    """

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
    """Settings for the calls to one path prefix of a service.

    ``deadline`` is the time in seconds allowed for a call that sets no deadline.
    """

    service: ServiceName
    path: RoutePath
    call_class: CallClass
    deadline: float
    idempotency: Idempotency
    key_policy: KeyPolicy

    def is_idempotent(self, method: str) -> bool:
        """Return whether a call with ``method`` may be sent more than once."""
        if self.idempotency is Idempotency.AUTO:
            return method in IDEMPOTENT_METHODS
        return self.idempotency is Idempotency.YES


@dataclass(frozen=True, slots=True, kw_only=True)
class Allowance:
    """Limits of the customers of one plan on one route, across the whole fleet.

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
    """A customer, its plan and its contact (free text)."""

    id: CustomerId
    plan: PlanId
    contact: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Lists:
    """All rows of one configuration version with their digest."""

    rows_by_key: Rows = field(default_factory=dict)
    digest: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class Delta:
    """The change from version ``base`` to ``version``.

    ``digest`` is the digest of ``version``, with which the result of applying the
    delta is verified.
    """

    version: Version
    base: Version
    digest: int
    changed_by_key: Rows
    removed: tuple[str, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class Snapshot:
    """All rows of one configuration version, without reference to another one."""

    version: Version
    digest: int
    rows_by_key: Rows


def row_hash(key: str, fields: Fields) -> int:
    """Return the 128-bit hash of the canonical CBOR encoding of a row."""
    encoded = cbor2.dumps([key, dict(fields)], canonical=True)
    return int.from_bytes(hashlib.blake2b(encoded, digest_size=16).digest(), "big")


def digest_of_rows(rows_by_key: Rows) -> int:
    """Return the digest of a complete set of rows."""
    hashes = (row_hash(key, fields) for key, fields in rows_by_key.items())
    return sum(hashes) % _DIGEST_MODULUS


def lists_from_rows(rows_by_key: Rows) -> Lists:
    """Return ``Lists`` of a copy of the rows, with the digest computed from them."""
    return Lists(rows_by_key=dict(rows_by_key), digest=digest_of_rows(rows_by_key))


def diff(
    old: Lists, new: Lists, *, base: Version = NO_VERSION, version: Version = NO_VERSION
) -> Delta:
    """Return the rows to set and the row keys to remove to turn ``old`` into ``new``.

    ``base`` and ``version`` are copied to the delta.
    """
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
    """Return a copy of ``lists`` without ``removed`` and with ``changed`` rows set.

    The digest is updated; keys in ``removed`` that have no row are ignored.
    """
    rows = dict(lists.rows_by_key)
    digest = lists.digest
    for key in removed:
        old_fields = rows.pop(key, None)
        if old_fields is not None:
            digest -= row_hash(key, old_fields)
    for key, fields in changed.items():
        old_fields = rows.get(key)
        if old_fields is not None:
            digest -= row_hash(key, old_fields)
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
