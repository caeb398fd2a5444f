"""The two list files: INI text to sections with line numbers, and rows to text.

``configparser`` reads the values. It reports no line numbers for values and stops at
the first duplicate, so a scan of the lines comes first: it notes the line of every
section and key, reports malformed and duplicate lines, and renames each section to
its line number so that the library accepts the rest of the file.
"""

import configparser
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field

from .lists import Fields, Rows, split_key
from .listunits import format_bytes, format_rate, format_seconds

PLANS_FILE = "plans.ini"
CUSTOMERS_FILE = "customers.ini"

_COMMENT_PREFIXES = ("#", ";")


@dataclass(frozen=True, slots=True, kw_only=True)
class FileFault:
    """A fault in a list file; ``line`` counts from 1."""

    file: str
    line: int
    problem: str
    remedy: str

    def __str__(self) -> str:
        return f"{self.file}:{self.line}: {self.problem}; {self.remedy}"


@dataclass(frozen=True, slots=True, kw_only=True)
class SourceFile:
    """The text of a list file and the name to report it by."""

    name: str
    text: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Section:
    """A section with its header split at spaces, and its options with lines."""

    file: str
    line: int
    kind: str
    names: tuple[str, ...]
    text_by_option: dict[str, str]
    line_by_option: dict[str, int]

    @property
    def title(self) -> str:
        """The header in its canonical spelling, without brackets."""
        return " ".join((self.kind, *self.names))


@dataclass(slots=True)
class _Scan:
    """Result of the scan of the lines of one file."""

    header_by_line: dict[int, list[str]] = field(default_factory=dict)
    lines_by_section: dict[int, dict[str, int]] = field(default_factory=dict)
    cleaned: list[str] = field(default_factory=list)
    faults: list[FileFault] = field(default_factory=list)


def read_sections(source: SourceFile) -> tuple[list[Section], list[FileFault]]:
    """Return the sections of ``source`` in file order, and the malformed lines."""
    scan = _scan_lines(source)
    # The empty name cannot be a header, so no section acts as a default section.
    parser = configparser.ConfigParser(
        interpolation=None,
        delimiters=("=",),
        comment_prefixes=_COMMENT_PREFIXES,
        default_section="",
    )
    parser.optionxform = str  # type: ignore[assignment, method-assign]
    try:
        parser.read_string("\n".join(scan.cleaned), source=source.name)
    except configparser.Error as error:
        line = getattr(error, "lineno", None) or 1
        scan.faults.append(
            FileFault(
                file=source.name,
                line=line,
                problem=f"not readable as INI: {error.message}",
                remedy="correct or remove the line",
            )
        )
        return [], scan.faults
    sections = [
        Section(
            file=source.name,
            line=line,
            kind=header[0],
            names=tuple(header[1:]),
            text_by_option=dict(parser.items(str(line))),
            line_by_option=scan.lines_by_section[line],
        )
        for line, header in scan.header_by_line.items()
    ]
    return sections, scan.faults


def _scan_lines(source: SourceFile) -> _Scan:
    scan = _Scan()
    section: int | None = None
    for number, raw in enumerate(source.text.split("\n"), start=1):
        # Leading spaces would make the line a continuation of the one before.
        line = raw.strip()
        cleaned = ""
        if not line or line.startswith(_COMMENT_PREFIXES):
            pass
        elif line.startswith("["):
            section = number
            cleaned = f"[{number}]"
            scan.header_by_line[number] = _header(scan, source.name, number, line)
            scan.lines_by_section[number] = {}
        else:
            problem = _option_problem(scan, section, number, line)
            if problem is None:
                cleaned = line
            else:
                scan.faults.append(_line_fault(source.name, number, *problem))
        scan.cleaned.append(cleaned)
    return scan


def _header(scan: _Scan, file: str, number: int, line: str) -> list[str]:
    if not line.endswith("]"):
        scan.faults.append(
            _line_fault(
                file,
                number,
                "section header does not end with ']'",
                "close it and put comments on lines of their own",
            )
        )
    # An empty header keeps an empty kind, which the check reports as unknown.
    return line[1:].removesuffix("]").split() or [""]


def _option_problem(
    scan: _Scan, section: int | None, number: int, line: str
) -> tuple[str, str] | None:
    """Return problem and remedy of an option line, or None and note its line."""
    name, equals, _ = line.partition("=")
    name = name.rstrip()
    if not equals or not name:
        return f"{line!r} is not 'key = value'", "write 'key = value' or remove it"
    if section is None:
        return f"key {name!r} before any section", "move it below a section header"
    seen = scan.lines_by_section[section]
    if name in seen:
        return (
            f"key {name!r} is already set on line {seen[name]}",
            "keep one of the two",
        )
    seen[name] = number
    return None


def _line_fault(file: str, line: int, problem: str, remedy: str) -> FileFault:
    return FileFault(file=file, line=line, problem=problem, remedy=remedy)


def format_plans(rows_by_key: Rows, *, comments: Sequence[str] = ()) -> str:
    """Return ``plans.ini``: services with routes, then plans with allowances."""
    return _format(rows_by_key, (("service", "route"), ("plan", "allowance")), comments)


def format_customers(rows_by_key: Rows, *, comments: Sequence[str] = ()) -> str:
    """Return ``customers.ini``."""
    return _format(rows_by_key, (("customer",),), comments)


def _format(
    rows_by_key: Rows, groups: Sequence[Sequence[str]], comments: Sequence[str]
) -> str:
    blocks = ["".join(f"# {comment}\n" for comment in comments)] if comments else []
    for kinds in groups:
        titles = (split_key(key) for key in rows_by_key)
        chosen = [(names, kind) for kind, names in titles if kind in kinds]
        # By first name, then parent before child: a service, then its routes.
        chosen.sort(key=lambda item: (item[0][0], kinds.index(item[1]), item[0]))
        for names, kind in chosen:
            fields = rows_by_key[f"{kind}/{' '.join(names)}"]
            blocks.append("".join(_section_lines(kind, names, fields)))
    return "\n".join(blocks)


def _section_lines(kind: str, names: Sequence[str], fields: Fields) -> Iterator[str]:
    yield f"[{kind} {' '.join(names)}]\n"
    if kind == "route":
        yield f"class = {fields['class']}\n"
        yield f"deadline = {format_seconds(fields['deadline'])}\n"
        yield f"idempotent = {fields['idempotent']}\n"
        yield f"idempotency_key = {fields['idempotency_key']}\n"
    elif kind == "allowance":
        yield f"rate = {format_rate(fields['rate'])}\n"
        yield f"burst = {fields['burst']}\n"
        yield f"in_flight = {fields['in_flight']}\n"
        yield f"max_body = {format_bytes(fields['max_body'])}\n"
    elif kind == "customer":
        yield f"plan = {fields['plan']}\n"
        yield f"contact = {fields.get('contact', '')}".rstrip() + "\n"
