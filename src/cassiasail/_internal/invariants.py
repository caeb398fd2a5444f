"""Checks of promises inside the program.

A failed check increments a counter and, in strict mode (tests), raises.
"""

from collections import Counter

from absl import logging

from ..exceptions import InvariantError
from . import metrics

_strict = False
failures_by_name: Counter[str] = Counter()


def set_strict(strict: bool) -> None:
    """Make failed checks raise ``InvariantError`` (tests) or only count."""
    global _strict
    _strict = strict


def check(name: str, ok: bool, detail: str = "") -> None:
    """Count, and in strict mode raise, when ``ok`` is false.

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
