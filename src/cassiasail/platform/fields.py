"""Typed access to the fields of decoded JSON and TOML documents.

Another writer may have written a document. Each field is therefore checked against a
range, and code that gets the returned value need not check it again.
"""

from collections.abc import Mapping
from typing import Any

from .._internal.state import ranges

# Limit of numbers that have no range of their own.
MAX_NUMBER = 1e12
# Limit of texts, such as hosts and prefixes of routes, which go into no row.
MAX_TEXT_BYTES = 4096


class MalformedError(Exception):
    """A field of a document is missing or has the wrong type; the message names it."""


def value(document: Any, name: str) -> Any:
    """Return the field ``name`` of ``document``, which may have any type."""
    if not isinstance(document, dict) or name not in document:
        raise MalformedError(f"{name} is missing")
    return document[name]


def table(document: Any, name: str) -> Mapping[str, Any]:
    """Return the table ``name`` of ``document``."""
    entry = value(document, name)
    if not isinstance(entry, dict):
        raise MalformedError(f"{name} is not a table")
    return entry


def text(document: Any, name: str) -> str:
    """Return the text ``name`` of ``document``, which can be logged and encoded.

    An empty or very long text is malformed, and one that can't be printed.
    """
    try:
        return ranges.name(value(document, name), MAX_TEXT_BYTES)
    except ranges.OutOfRangeError as error:
        raise MalformedError(f"{name}: {error}") from error


def integer(
    document: Any, name: str, low: int = 0, high: int = ranges.MAX_INTEGER
) -> int:
    """Return the whole number ``name`` of ``document``, from ``low`` to ``high``."""
    try:
        return ranges.integer(value(document, name), low, high)
    except ranges.OutOfRangeError as error:
        raise MalformedError(f"{name}: {error}") from error


def number(
    document: Any, name: str, low: float = 0.0, high: float = MAX_NUMBER
) -> float:
    """Return the number ``name`` of ``document``, from ``low`` to ``high``."""
    try:
        return ranges.number(value(document, name), low, high)
    except ranges.OutOfRangeError as error:
        raise MalformedError(f"{name}: {error}") from error


def flag(document: Any, name: str) -> bool:
    """Return the field ``name`` of ``document``, which is true or false."""
    result = value(document, name)
    if not isinstance(result, bool):
        raise MalformedError(f"{name} is neither true nor false")
    return result


def seconds(document: Any, name: str) -> float:
    """Return the field ``name``, a duration in milliseconds, in seconds."""
    return number(document, name, 0, ranges.MAX_DURATION_MS) / 1000
