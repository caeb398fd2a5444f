"""Ranges of values that other writers send, and functions that check them.

A value is checked once, where it is decoded. All code behind that relies on its range:
an integer is finite as a float and has few digits, a duration can be added to a time,
and a text can be encoded, sent in a header and logged in one line.

The functions return the value, or raise ``OutOfRangeError``, whose message says what
was expected and not what was sent.
"""

from enum import Enum
from typing import TypeVar

# Largest integer in the formats of the store and between daemons.
MAX_INTEGER = (1 << 63) - 1
# End of the year 9999, as Unix time in milliseconds.
MAX_TIMESTAMP_MS = 253_402_300_799_999
# No time that is waited or measured is longer than a year.
MAX_DURATION_MS = 366 * 86_400_000
# Far above the slots of any target; products with times stay small.
MAX_SLOTS = 1 << 20
# A link of a terabit a second.
MAX_LINK_MBPS = 1 << 20
# Requests a second that no target takes.
MAX_RATE = 1e9
# Statuses of responses (RFC 9110, section 15).
MIN_STATUS, MAX_STATUS = 100, 599
# The limit of the store for each text that names a row.
MAX_NAME_BYTES = 200
_MAX_DIGITS = 19

EnumMember = TypeVar("EnumMember", bound=Enum)


class OutOfRangeError(ValueError):
    """A value has another type than expected or is out of range."""


def integer(value: object, low: int = 0, high: int = MAX_INTEGER) -> int:
    """Return ``value`` if it is an integer from ``low`` to ``high``."""
    # The type is compared because True and False are integers as well.
    if type(value) is not int or not low <= value <= high:
        raise OutOfRangeError(f"expected an integer from {low} to {high}")
    return value


def number(value: object, low: float, high: float) -> float:
    """Return ``value`` if it is a number from ``low`` to ``high``."""
    # An integer may be too large for a float, so it is compared first.
    if type(value) not in (int, float) or not low <= value <= high:  # type: ignore[operator]
        raise OutOfRangeError(f"expected a number from {low:g} to {high:g}")
    return float(value)  # type: ignore[arg-type]


def name(value: object, limit: int = MAX_NAME_BYTES) -> str:
    """Return ``value`` if it is a printable text of at most ``limit`` bytes."""
    if type(value) is not str or not value or not value.isprintable():
        raise OutOfRangeError("expected a text of printable characters")
    if len(value) > limit or len(value.encode()) > limit:
        raise OutOfRangeError(f"expected a text of at most {limit} bytes")
    return value


def http_status(value: object) -> int:
    """Return ``value`` if it is the status of a response.

    A server in trouble may send three digits that are none, such as 000.
    """
    return integer(value, MIN_STATUS, MAX_STATUS)


def token(value: object) -> str:
    """Return ``value`` if it is a text of ASCII letters and digits."""
    text = name(value)
    if not (text.isascii() and text.isalnum()):
        raise OutOfRangeError("expected a text of ASCII letters and digits")
    return text


def member(value: object, members: type[EnumMember]) -> EnumMember:
    """Return the member of an enumeration whose value is ``value``."""
    for each in members:
        if type(value) is type(each.value) and value == each.value:
            return each
    raise OutOfRangeError(f"expected one of the values of {members.__name__}")


def parse_integer(text: str | bytes, low: int = 0, high: int = MAX_INTEGER) -> int:
    """Return the integer in decimal digits ``text`` if it is in range."""
    digits = text[1:] if text[:1] in ("-", b"-") else text
    if not digits.isdigit() or not digits.isascii() or len(digits) > _MAX_DIGITS:
        raise OutOfRangeError(f"expected the digits of an integer up to {high}")
    return integer(int(text), low, high)


def parse_number(text: str | bytes, low: float, high: float) -> float:
    """Return the decimal number in ``text`` if it is in range."""
    try:
        value = float(text)
    except ValueError as error:
        raise OutOfRangeError("expected a decimal number") from error
    # No comparison holds for a value that is not a number.
    return number(value, low, high)


def parse_seconds(milliseconds: str | bytes) -> float:
    """Return the seconds of a duration in milliseconds, in decimal digits."""
    return parse_integer(milliseconds, 0, MAX_DURATION_MS) / 1000
