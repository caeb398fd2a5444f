"""Checks of the two list files, with the line and the remedy of every fault.

The files are checked together, because customers refer to plans. References and
ranges are checked by ``routes.find_faults``, the same function by which a daemon
refuses a version; this module adds what only exists in files (names, units, unknown
and duplicate sections and keys) and finds the line of each fault.
"""

import re
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from typing import Any

from .listfiles import (
    CUSTOMERS_FILE,
    PLANS_FILE,
    FileFault,
    Section,
    SourceFile,
    read_sections,
)
from .lists import Lists, lists_from_rows
from .listunits import BadValue, parse_bytes, parse_calls, parse_rate, parse_seconds
from .routes import NAMES_BY_KIND, RowFault, find_faults

# Lengths are bounded because the codec of the store and of peers refuses row keys of
# more than 1024 characters, and an allowance key holds two names and a path.
NAME = re.compile(r"[A-Za-z0-9._-]{1,128}")
# The characters of a path in RFC 3986, without '?', '#' and brackets.
PATH = re.compile(r"[A-Za-z0-9._~!$&'()*+,;=:@%/-]{1,512}")
_NAME_REMEDY = "use up to 128 letters, digits, '.', '_' and '-'"

DEFAULT_DEADLINE = 5.0  # seconds
DEFAULT_MAX_BODY = 1 << 20  # bytes

_REQUIRED = object()


@dataclass(frozen=True, slots=True, kw_only=True)
class _Option:
    """How the text of a key becomes a field, and the field of an absent key."""

    parse: Callable[[str], Any]
    default: Any = _REQUIRED


def _parse_text(text: str) -> str | BadValue:
    # Text that is not printable cannot be written back on one line.
    if text.isprintable():
        return text
    return BadValue(
        problem=f"is {text!r}, which has unprintable characters", remedy="remove them"
    )


def _parse_name(text: str) -> str | BadValue:
    if NAME.fullmatch(text):
        return text
    return BadValue(
        problem=f"is {text!r}, not a name",
        remedy=_NAME_REMEDY,
    )


_OPTIONS_BY_KIND: Mapping[str, Mapping[str, _Option]] = {
    "service": {},
    "route": {
        "class": _Option(parse=_parse_text, default="lookup"),
        "deadline": _Option(parse=parse_seconds, default=DEFAULT_DEADLINE),
        "idempotent": _Option(parse=_parse_text, default="auto"),
        "idempotency_key": _Option(parse=_parse_text, default="optional"),
    },
    "plan": {},
    "allowance": {
        "rate": _Option(parse=parse_rate),
        "burst": _Option(parse=parse_calls),
        "in_flight": _Option(parse=parse_calls),
        "max_body": _Option(parse=parse_bytes, default=DEFAULT_MAX_BODY),
    },
    "customer": {
        "plan": _Option(parse=_parse_name),
        "contact": _Option(parse=_parse_text, default=""),
    },
}
_FILE_BY_KIND = {
    "service": PLANS_FILE,
    "route": PLANS_FILE,
    "plan": PLANS_FILE,
    "allowance": PLANS_FILE,
    "customer": CUSTOMERS_FILE,
}


def check_files(plans: SourceFile, customers: SourceFile) -> Lists | list[FileFault]:
    """Return the lists of both files, or every fault in file and line order."""
    faults: list[FileFault] = []
    section_by_key: dict[str, Section] = {}
    rows: dict[str, dict[str, Any]] = {}
    bad_options: set[tuple[str, str]] = set()
    for source, role in ((plans, PLANS_FILE), (customers, CUSTOMERS_FILE)):
        sections, syntax = read_sections(source)
        faults += syntax
        for section in sections:
            faults += _title_faults(section, role)
            if len(section.names) != NAMES_BY_KIND.get(section.kind):
                continue
            key = f"{section.kind}/{' '.join(section.names)}"
            fields, bad = _fields(section)
            faults += (fault for _, fault in bad)
            if key in section_by_key:
                faults.append(_duplicate(section, section_by_key[key]))
                continue
            section_by_key[key] = section
            rows[key] = fields
            known = _OPTIONS_BY_KIND[section.kind]
            bad_options.update((key, option) for option, _ in bad if option in known)
    lists = lists_from_rows(rows)
    for fault in find_faults(lists):
        if (fault.key, _field_of(fault)) not in bad_options:
            faults.append(_locate(fault, section_by_key[fault.key]))
    if not rows and not faults:
        faults.append(_empty(plans))
    if faults:
        order = (plans.name, customers.name)
        return sorted(faults, key=lambda fault: (order.index(fault.file), fault.line))
    return lists


def _title_faults(section: Section, role: str) -> Iterator[FileFault]:
    expected = NAMES_BY_KIND.get(section.kind)
    if expected is None:
        kinds = ", ".join(_OPTIONS_BY_KIND)
        yield _fault(section, f"unknown section [{section.title}]", f"use {kinds}")
        return
    if len(section.names) != expected:
        shape = {1: "NAME", 2: "SERVICE PATH", 3: "PLAN SERVICE PATH"}[expected]
        yield _fault(
            section,
            f"section [{section.title}] has {len(section.names)} names",
            f"write [{section.kind} {shape}]",
        )
        return
    if _FILE_BY_KIND[section.kind] != role:
        yield _fault(
            section,
            f"section [{section.title}] does not belong in this file",
            f"move it to {_FILE_BY_KIND[section.kind]}",
        )
    for position, name in enumerate(section.names):
        is_path = (section.kind, position) in (("route", 1), ("allowance", 2))
        if is_path and not PATH.fullmatch(name):
            yield _fault(
                section, f"bad path {name!r}", "use up to 512 characters of a URL path"
            )
        if not is_path and not NAME.fullmatch(name):
            yield _fault(section, f"bad name {name!r}", _NAME_REMEDY)


def _fields(
    section: Section,
) -> tuple[dict[str, Any], list[tuple[str, FileFault]]]:
    """Return the fields of a section, and its bad options with their faults."""
    options = _OPTIONS_BY_KIND[section.kind]
    fields: dict[str, Any] = {}
    bad: list[tuple[str, FileFault]] = []
    for name, text in section.text_by_option.items():
        if name not in options:
            bad.append((name, _unknown_key(section, name)))
            continue
        value = options[name].parse(text)
        if isinstance(value, BadValue):
            problem = f"{name} {value.problem}"
            line = section.line_by_option[name]
            bad.append((name, _fault(section, problem, value.remedy, line=line)))
            continue
        fields[name] = value
    for name, option in options.items():
        if name in section.text_by_option:
            continue
        if option.default is not _REQUIRED:
            fields[name] = option.default
        elif section.kind == "customer":
            # find_faults takes an absent plan for an undefined one.
            bad.append(
                (name, _fault(section, f"{name} is absent", f"add '{name} = NAME'"))
            )
    return fields, bad


def _unknown_key(section: Section, name: str) -> FileFault:
    known = ", ".join(_OPTIONS_BY_KIND[section.kind])
    return _fault(
        section,
        f"unknown key {name!r} in [{section.title}]",
        f"use one of {known}" if known else f"[{section.kind}] sections have no keys",
        line=section.line_by_option[name],
    )


def _duplicate(section: Section, first: Section) -> FileFault:
    return _fault(
        section,
        f"duplicate section [{section.title}], first at {first.file}:{first.line}",
        "keep one of the two",
    )


def _empty(plans: SourceFile) -> FileFault:
    return FileFault(
        file=plans.name,
        line=1,
        problem="both lists are empty",
        remedy="define at least one service, plan and customer",
    )


def _locate(fault: RowFault, section: Section) -> FileFault:
    """Return ``fault`` at the line of its key, or else of its section."""
    line = section.line_by_option.get(_field_of(fault))
    problem = f"[{section.title}] {fault.problem}"
    return _fault(section, problem, fault.remedy, line=line)


def _field_of(fault: RowFault) -> str:
    # The problem of a row fault on a field starts with the name of the field.
    return fault.problem.partition(" ")[0]


def _fault(
    section: Section, problem: str, remedy: str, *, line: int | None = None
) -> FileFault:
    return FileFault(
        file=section.file,
        line=section.line if line is None else line,
        problem=problem,
        remedy=remedy,
    )
