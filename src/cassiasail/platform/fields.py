"""Typed access to the fields of decoded JSON and TOML documents."""

from collections.abc import Mapping
from typing import Any


class MalformedError(Exception):
    """A field of a document is missing or has the wrong type; the message names it."""


def table(document: Any, name: str) -> Mapping[str, Any]:
    """Return the table ``name`` of ``document``."""
    value = _field(document, name)
    if not isinstance(value, dict):
        raise MalformedError(f"{name} is not a table")
    return value


def text(document: Any, name: str) -> str:
    """Return the text ``name`` of ``document``; an empty text is malformed."""
    value = _field(document, name)
    if not isinstance(value, str) or not value:
        raise MalformedError(f"{name} is not a text")
    return value


def integer(document: Any, name: str) -> int:
    """Return the whole number ``name`` of ``document``."""
    value = _field(document, name)
    if isinstance(value, bool) or not isinstance(value, int):
        raise MalformedError(f"{name} is not a whole number")
    return value


def number(document: Any, name: str) -> float:
    """Return the finite number ``name`` of ``document``."""
    value = _field(document, name)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise MalformedError(f"{name} is not a number")
    if value != value or value in (float("inf"), float("-inf")):
        raise MalformedError(f"{name} is not finite")
    return float(value)


def seconds(document: Any, name: str) -> float:
    """Return the field ``name``, a duration in milliseconds, in seconds."""
    return number(document, name) / 1000


def _field(document: Any, name: str) -> Any:
    if not isinstance(document, dict) or name not in document:
        raise MalformedError(f"{name} is missing")
    return document[name]
