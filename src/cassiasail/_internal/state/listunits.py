"""Quantities of the list files: text with a unit to a number, and back.

Quantities that have several units need one (``250ms``, ``64KiB``); quantities with
a single unit are written without (``rate`` in calls per second, ``burst`` and
``in_flight`` in calls). The sign is parsed, so that the range check of the route
table reports a negative value like any other value out of range.
"""

import re
from collections.abc import Mapping
from dataclasses import dataclass
from decimal import Decimal

# The digits are bounded because int() refuses strings beyond its own limit.
_QUANTITY = re.compile(r"([+-]?[0-9]{1,18}(?:\.[0-9]{1,18})?)\s*([A-Za-z]*)")

SECONDS_BY_UNIT = {"ms": Decimal("0.001"), "s": Decimal(1)}
BYTES_BY_UNIT = {
    "B": Decimal(1),
    "KiB": Decimal(1 << 10),
    "MiB": Decimal(1 << 20),
    "GiB": Decimal(1 << 30),
}
_NO_UNIT = {"": Decimal(1)}


@dataclass(frozen=True, slots=True, kw_only=True)
class BadValue:
    """A value that cannot be read, and what to write instead."""

    problem: str
    remedy: str


def parse_seconds(text: str) -> float | BadValue:
    """Return seconds: ``parse_seconds("250ms")`` returns 0.25."""
    value = _parse(text, SECONDS_BY_UNIT, example="2s or 250ms")
    return value if isinstance(value, BadValue) else float(value)


def parse_bytes(text: str) -> int | BadValue:
    """Return bytes: ``parse_bytes("64KiB")`` returns 65536."""
    return _whole(_parse(text, BYTES_BY_UNIT, example="64KiB or 1MiB"), text)


def parse_rate(text: str) -> float | BadValue:
    """Return calls per second; always a float, so that equal rows hash equally."""
    value = _parse(text, _NO_UNIT, example="50 or 0.5 (calls/s, no unit)")
    return value if isinstance(value, BadValue) else float(value)


def parse_calls(text: str) -> int | BadValue:
    """Return a whole number of calls."""
    return _whole(_parse(text, _NO_UNIT, example="100 (calls, no unit)"), text)


def format_seconds(seconds: float) -> str:
    """Return text that ``parse_seconds`` turns into the same float."""
    value = Decimal(repr(float(seconds)))
    if abs(value) < 1:
        return _plain(value * 1000) + "ms"
    return _plain(value) + "s"


def format_bytes(count: int) -> str:
    """Return ``count`` in the largest unit that divides it."""
    for unit, size in reversed(BYTES_BY_UNIT.items()):
        if count and count % int(size) == 0:
            return f"{count // int(size)}{unit}"
    return f"{count}B"


def format_rate(rate: float) -> str:
    """Return text that ``parse_rate`` turns into the same float."""
    return _plain(Decimal(repr(float(rate))))


def _parse(
    text: str, factor_by_unit: Mapping[str, Decimal], *, example: str
) -> Decimal | BadValue:
    match = _QUANTITY.fullmatch(text)
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


def _whole(value: Decimal | BadValue, text: str) -> int | BadValue:
    if isinstance(value, BadValue):
        return value
    if value != int(value):
        return BadValue(problem=f"is {text!r}, not whole", remedy="use a whole number")
    return int(value)


def _plain(value: Decimal) -> str:
    """Return ``value`` without exponent and trailing zeros."""
    text = f"{value:f}"
    return text.rstrip("0").rstrip(".") if "." in text else text
