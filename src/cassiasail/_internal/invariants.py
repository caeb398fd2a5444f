"""Checks of internal invariants.

A violation is logged once per invariant and counted in a metric. In strict mode, which
tests use, it also raises an exception.
"""

from collections import Counter

from absl import logging

from ..exceptions import InvariantError
from . import metrics

_strict = False
failures_by_name: Counter[str] = Counter()


def set_strict(strict: bool) -> None:
    """Set whether a violation raises ``InvariantError`` or is only counted."""
    global _strict
    _strict = strict


def check(name: str, ok: bool, detail: str = "") -> None:
    """Count a violation of the invariant ``name`` unless ``ok`` is true.

    In strict mode a violation raises ``InvariantError``. Example:
    ``check("version_monotonic", new > old, f"{old} -> {new}")``
    """
    if ok:
        return
    if failures_by_name[name] == 0:
        logging.error("invariant %s violated: %s", name, detail)
    failures_by_name[name] += 1
    metrics.INVARIANT_FAILURES.labels(name).inc()
    if _strict:
        raise InvariantError(f"invariant {name} violated: {detail}")
