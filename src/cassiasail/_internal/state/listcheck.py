"""Checks of the two list files; reports the line and the remedy of every fault.

The files are checked together, because customers refer to plans. References and
value ranges are checked by ``routes.find_row_faults``, the function with which a daemon
checks a version before it applies it. This module adds the checks that apply to files
only (spelling of names and paths, units, unknown and duplicate sections and keys) and
finds the line of each fault.
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
from .listunits import (
    BadValue,
    parse_bytes,
    parse_call_count,
    parse_rate,
    parse_seconds,
)
from .routes import NAME_COUNT_BY_KIND, RowFault, find_row_faults

# Lengths are limited because the codec for the store and for messages between daemons
# refuses row keys of more than 1024 characters. The longest keys are those of
# allowances, which contain two names and a path.
NAME_PATTERN = re.compile(r"[A-Za-z0-9._-]{1,128}")
# The characters that RFC 3986 allows in a path, which exclude '?', '#' and brackets.
PATH_PATTERN = re.compile(r"[A-Za-z0-9._~!$&'()*+,;=:@%/-]{1,512}")
_NAME_REMEDY = "use up to 128 letters, digits, '.', '_' and '-'"

DEFAULT_DEADLINE_SECONDS = 5.0
DEFAULT_MAX_BODY_BYTES = 1 << 20

# Default of options that have no default value and must be set in the file.
_REQUIRED = object()


@dataclass(frozen=True, slots=True, kw_only=True)
class _OptionSpec:
    """Parser of an option (a key of a section) and the value if it is absent."""

    parse: Callable[[str], Any]
    default: Any = _REQUIRED


def _parse_text(text: str) -> str | BadValue:
    # An export writes each value on one line, which line breaks and other unprintable
    # characters would break.
    if text.isprintable():
        return text
    return BadValue(
        problem=f"is {text!r}, which has unprintable characters", remedy="remove them"
    )


def _parse_name(text: str) -> str | BadValue:
    if NAME_PATTERN.fullmatch(text):
        return text
    return BadValue(
        problem=f"is {text!r}, not a name",
        remedy=_NAME_REMEDY,
    )


_SPEC_BY_OPTION_BY_KIND: Mapping[str, Mapping[str, _OptionSpec]] = {
    "service": {},
    "route": {
        "class": _OptionSpec(parse=_parse_text, default="lookup"),
        "deadline": _OptionSpec(parse=parse_seconds, default=DEFAULT_DEADLINE_SECONDS),
        "idempotent": _OptionSpec(parse=_parse_text, default="auto"),
        "idempotency_key": _OptionSpec(parse=_parse_text, default="optional"),
    },
    "plan": {},
    "allowance": {
        "rate": _OptionSpec(parse=parse_rate),
        "burst": _OptionSpec(parse=parse_call_count),
        "in_flight": _OptionSpec(parse=parse_call_count),
        "max_body": _OptionSpec(parse=parse_bytes, default=DEFAULT_MAX_BODY_BYTES),
    },
    "customer": {
        "plan": _OptionSpec(parse=_parse_name),
        "contact": _OptionSpec(parse=_parse_text, default=""),
    },
}
_CANONICAL_FILE_BY_KIND = {
    "service": PLANS_FILE,
    "route": PLANS_FILE,
    "plan": PLANS_FILE,
    "allowance": PLANS_FILE,
    "customer": CUSTOMERS_FILE,
}


def check_files(plans: SourceFile, customers: SourceFile) -> Lists | list[FileFault]:
    """Return the rows of both files, or all faults sorted by file and line."""
    faults: list[FileFault] = []
    section_by_key: dict[str, Section] = {}
    rows: dict[str, dict[str, Any]] = {}
    bad_options: set[tuple[str, str]] = set()
    for source, canonical_file in ((plans, PLANS_FILE), (customers, CUSTOMERS_FILE)):
        sections, syntax_faults = read_sections(source)
        faults += syntax_faults
        for section in sections:
            faults += _header_faults(section, canonical_file)
            if len(section.names) != NAME_COUNT_BY_KIND.get(section.kind):
                continue
            key = f"{section.kind}/{' '.join(section.names)}"
            fields, option_faults = _parse_fields(section)
            faults += (fault for _, fault in option_faults)
            if key in section_by_key:
                faults.append(_duplicate_section_fault(section, section_by_key[key]))
                continue
            section_by_key[key] = section
            rows[key] = fields
            spec_by_option = _SPEC_BY_OPTION_BY_KIND[section.kind]
            bad_options.update(
                (key, option) for option, _ in option_faults if option in spec_by_option
            )
    lists = lists_from_rows(rows)
    # An option that could not be parsed is reported above. It has no field, so
    # find_row_faults reports it as absent, which is left out here.
    for fault in find_row_faults(lists):
        if (fault.key, _field_of_row_fault(fault)) not in bad_options:
            faults.append(_file_fault_of_row_fault(fault, section_by_key[fault.key]))
    if not rows and not faults:
        faults.append(_empty_lists_fault(plans))
    if faults:
        file_order = (plans.name, customers.name)
        return sorted(
            faults, key=lambda fault: (file_order.index(fault.file), fault.line)
        )
    return lists


def _header_faults(section: Section, canonical_file: str) -> Iterator[FileFault]:
    """Yield the faults of a section header in the plans or the customers file.

    ``canonical_file`` is ``PLANS_FILE`` or ``CUSTOMERS_FILE`` even if the file that is
    checked has another name.
    """
    expected_count = NAME_COUNT_BY_KIND.get(section.kind)
    if expected_count is None:
        kinds = ", ".join(_SPEC_BY_OPTION_BY_KIND)
        yield _section_fault(
            section, f"unknown section [{section.title}]", f"use {kinds}"
        )
        return
    if len(section.names) != expected_count:
        name_placeholders = {1: "NAME", 2: "SERVICE PATH", 3: "PLAN SERVICE PATH"}[
            expected_count
        ]
        yield _section_fault(
            section,
            f"section [{section.title}] has {len(section.names)} names",
            f"write [{section.kind} {name_placeholders}]",
        )
        return
    if _CANONICAL_FILE_BY_KIND[section.kind] != canonical_file:
        yield _section_fault(
            section,
            f"section [{section.title}] does not belong in this file",
            f"move it to {_CANONICAL_FILE_BY_KIND[section.kind]}",
        )
    for position, name in enumerate(section.names):
        is_path = (section.kind, position) in (("route", 1), ("allowance", 2))
        if is_path and not PATH_PATTERN.fullmatch(name):
            yield _section_fault(
                section, f"bad path {name!r}", "use up to 512 characters of a URL path"
            )
        if not is_path and not NAME_PATTERN.fullmatch(name):
            yield _section_fault(section, f"bad name {name!r}", _NAME_REMEDY)


def _parse_fields(
    section: Section,
) -> tuple[dict[str, Any], list[tuple[str, FileFault]]]:
    """Return the valid and default fields of a section, and its option faults.

    The faults are pairs of the name of an unknown, invalid or absent option and the
    fault. Absent options are only reported for customers; for other kinds of rows,
    ``routes.find_row_faults`` reports them.
    """
    spec_by_option = _SPEC_BY_OPTION_BY_KIND[section.kind]
    fields: dict[str, Any] = {}
    option_faults: list[tuple[str, FileFault]] = []
    for name, text in section.text_by_option.items():
        if name not in spec_by_option:
            option_faults.append((name, _unknown_option_fault(section, name)))
            continue
        value = spec_by_option[name].parse(text)
        if isinstance(value, BadValue):
            problem = f"{name} {value.problem}"
            line = section.line_by_option[name]
            option_faults.append(
                (name, _section_fault(section, problem, value.remedy, line=line))
            )
            continue
        fields[name] = value
    for name, spec in spec_by_option.items():
        if name in section.text_by_option:
            continue
        if spec.default is not _REQUIRED:
            fields[name] = spec.default
        elif section.kind == "customer":
            # find_row_faults would report the plan as undefined rather than absent.
            option_faults.append(
                (
                    name,
                    _section_fault(
                        section, f"{name} is absent", f"add '{name} = NAME'"
                    ),
                )
            )
    return fields, option_faults


def _unknown_option_fault(section: Section, name: str) -> FileFault:
    option_names = ", ".join(_SPEC_BY_OPTION_BY_KIND[section.kind])
    return _section_fault(
        section,
        f"unknown key {name!r} in [{section.title}]",
        f"use one of {option_names}"
        if option_names
        else f"[{section.kind}] sections have no keys",
        line=section.line_by_option[name],
    )


def _duplicate_section_fault(section: Section, first: Section) -> FileFault:
    return _section_fault(
        section,
        f"duplicate section [{section.title}], first at {first.file}:{first.line}",
        "keep one of the two",
    )


def _empty_lists_fault(plans: SourceFile) -> FileFault:
    return FileFault(
        file=plans.name,
        line=1,
        problem="both lists are empty",
        remedy="define at least one service, plan and customer",
    )


def _file_fault_of_row_fault(fault: RowFault, section: Section) -> FileFault:
    """Return ``fault`` with the line of its option, or of its section if none."""
    line = section.line_by_option.get(_field_of_row_fault(fault))
    problem = f"[{section.title}] {fault.problem}"
    return _section_fault(section, problem, fault.remedy, line=line)


def _field_of_row_fault(fault: RowFault) -> str:
    # The problem text starts with the name of the field if the fault is in a field.
    # Otherwise its first word is not an option of this kind of section.
    return fault.problem.partition(" ")[0]


def _section_fault(
    section: Section, problem: str, remedy: str, *, line: int | None = None
) -> FileFault:
    return FileFault(
        file=section.file,
        line=section.line if line is None else line,
        problem=problem,
        remedy=remedy,
    )
