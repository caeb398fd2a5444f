"""Parsing and formatting of the quantities in list files.

Durations and sizes must have a unit (``250ms``, ``64KiB``). Quantities with only one
possible unit are written without it (``rate`` in calls per second, ``burst`` and
``in_flight`` in calls). Signs are accepted here, so that the range checks in
``routes`` report a negative value like any other value out of range.
"""

import re
from collections.abc import Mapping
from dataclasses import dataclass
from decimal import Decimal

# The number of digits is limited because int() raises ValueError for strings with too
# many digits.
_QUANTITY_PATTERN = re.compile(r"([+-]?[0-9]{1,18}(?:\.[0-9]{1,18})?)\s*([A-Za-z]*)")

SECONDS_BY_UNIT = {"ms": Decimal("0.001"), "s": Decimal(1)}
BYTES_BY_UNIT = {
    "B": Decimal(1),
    "KiB": Decimal(1 << 10),
    "MiB": Decimal(1 << 20),
    "GiB": Decimal(1 << 30),
}
_FACTOR_WITHOUT_UNIT = {"": Decimal(1)}


@dataclass(frozen=True, slots=True, kw_only=True)
class BadValue:
    """Why a value is invalid, and what to write instead."""

    problem: str
    remedy: str


def parse_seconds(text: str) -> float | BadValue:
    """Return a duration in seconds: 0.25 for ``"250ms"``."""
    value = _parse_quantity(text, SECONDS_BY_UNIT, example="2s or 250ms")
    return value if isinstance(value, BadValue) else float(value)


def parse_bytes(text: str) -> int | BadValue:
    """Return a size in bytes: 65536 for ``"64KiB"``."""
    return _require_whole(
        _parse_quantity(text, BYTES_BY_UNIT, example="64KiB or 1MiB"), text
    )


def parse_rate(text: str) -> float | BadValue:
    """Return calls per second.

    The result is always a float, because an int encodes differently and would give
    equal rows different hashes.
    """
    value = _parse_quantity(
        text, _FACTOR_WITHOUT_UNIT, example="50 or 0.5 (calls/s, no unit)"
    )
    return value if isinstance(value, BadValue) else float(value)


def parse_call_count(text: str) -> int | BadValue:
    """Return a whole number of calls."""
    return _require_whole(
        _parse_quantity(text, _FACTOR_WITHOUT_UNIT, example="100 (calls, no unit)"),
        text,
    )


def format_seconds(seconds: float) -> str:
    """Return text in ms or s that ``parse_seconds`` parses to the same float."""
    value = Decimal(repr(float(seconds)))
    if abs(value) < 1:
        return _format_decimal(value * 1000) + "ms"
    return _format_decimal(value) + "s"


def format_bytes(count: int) -> str:
    """Return ``count`` in the largest unit that gives a whole number."""
    for unit, size in reversed(BYTES_BY_UNIT.items()):
        if count and count % int(size) == 0:
            return f"{count // int(size)}{unit}"
    return f"{count}B"


def format_rate(rate: float) -> str:
    """Return text that ``parse_rate`` parses to the same float."""
    return _format_decimal(Decimal(repr(float(rate))))


def _parse_quantity(
    text: str, factor_by_unit: Mapping[str, Decimal], *, example: str
) -> Decimal | BadValue:
    match = _QUANTITY_PATTERN.fullmatch(text)
    if match is None:
        return BadValue(
            problem=f"is {text!r}, not a number", remedy=f"write for example {example}"
        )
    number, unit = match.groups()
    factor = factor_by_unit.get(unit)
    if factor is None:
        problem = f"has the unknown unit {unit!r}" if unit else "has no unit"
        return BadValue(problem=problem, remedy=f"write for example {example}")
    return Decimal(number) * factor


def _require_whole(value: Decimal | BadValue, text: str) -> int | BadValue:
    if isinstance(value, BadValue):
        return value
    if value != int(value):
        return BadValue(problem=f"is {text!r}, not whole", remedy="use a whole number")
    return int(value)


def _format_decimal(value: Decimal) -> str:
    """Return ``value`` without an exponent and without trailing zeros."""
    text = f"{value:f}"
    return text.rstrip("0").rstrip(".") if "." in text else text
