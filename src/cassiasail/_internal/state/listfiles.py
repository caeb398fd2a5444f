"""Reading and writing of the two list files, which are INI files.

``configparser`` parses the values. It gives no line numbers for them and stops at the
first duplicate, so the lines are scanned first. The scan records the line of every
section and key, reports malformed lines and duplicate keys and replaces them by empty
lines, and replaces the header of each section by its line number. ``configparser``
then accepts the rest of the file, sections with the same header included.
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
    """A fault in a list file and how to correct it; ``line`` counts from 1."""

    file: str
    line: int
    problem: str
    remedy: str

    def __str__(self) -> str:
        return f"{self.file}:{self.line}: {self.problem}; {self.remedy}"


@dataclass(frozen=True, slots=True, kw_only=True)
class SourceFile:
    """The text of a list file and the file name that faults are reported with."""

    name: str
    text: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Section:
    """A section: its header split at spaces, and the texts and lines of its options.

    The first word of the header is ``kind``, the others are ``names``.
    """

    file: str
    line: int
    kind: str
    names: tuple[str, ...]
    text_by_option: dict[str, str]
    line_by_option: dict[str, int]

    @property
    def title(self) -> str:
        """The words of the header separated by single spaces, without brackets."""
        return " ".join((self.kind, *self.names))


@dataclass(slots=True)
class _LineScan:
    """Result of the scan of the lines of one file.

    Sections are identified by the line number of their header. ``cleaned_lines`` has
    an entry for each line of the file, so that line numbers are the same in both.
    """

    header_words_by_line: dict[int, list[str]] = field(default_factory=dict)
    option_lines_by_section: dict[int, dict[str, int]] = field(default_factory=dict)
    cleaned_lines: list[str] = field(default_factory=list)
    faults: list[FileFault] = field(default_factory=list)


def read_sections(source: SourceFile) -> tuple[list[Section], list[FileFault]]:
    """Return the sections of ``source`` in file order, and its syntax faults.

    If ``configparser`` refuses the scanned text, no sections are returned.
    """
    scan = _scan_lines(source)
    # No header is empty after the scan, so no section is read as the default section.
    parser = configparser.ConfigParser(
        interpolation=None,
        delimiters=("=",),
        comment_prefixes=_COMMENT_PREFIXES,
        default_section="",
    )
    parser.optionxform = str  # type: ignore[assignment, method-assign]
    try:
        parser.read_string("\n".join(scan.cleaned_lines), source=source.name)
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
            line_by_option=scan.option_lines_by_section[line],
        )
        for line, header in scan.header_words_by_line.items()
    ]
    return sections, scan.faults


def _scan_lines(source: SourceFile) -> _LineScan:
    scan = _LineScan()
    section_line: int | None = None
    for line_number, raw_line in enumerate(source.text.split("\n"), start=1):
        # configparser reads an indented line as a continuation of the previous line.
        line = raw_line.strip()
        cleaned_line = ""
        if not line or line.startswith(_COMMENT_PREFIXES):
            pass
        elif line.startswith("["):
            section_line = line_number
            cleaned_line = f"[{line_number}]"
            scan.header_words_by_line[line_number] = _split_header(
                scan, source.name, line_number, line
            )
            scan.option_lines_by_section[line_number] = {}
        else:
            problem = _record_option_line(scan, section_line, line_number, line)
            if problem is None:
                cleaned_line = line
            else:
                scan.faults.append(_line_fault(source.name, line_number, *problem))
        scan.cleaned_lines.append(cleaned_line)
    return scan


def _split_header(scan: _LineScan, file: str, line_number: int, line: str) -> list[str]:
    if not line.endswith("]"):
        scan.faults.append(
            _line_fault(
                file,
                line_number,
                "section header does not end with ']'",
                "close it and put comments on lines of their own",
            )
        )
    # The kind of an empty header is "", which listcheck reports as an unknown section.
    return line[1:].removesuffix("]").split() or [""]


def _record_option_line(
    scan: _LineScan, section_line: int | None, line_number: int, line: str
) -> tuple[str, str] | None:
    """Record the line of an option, or return the problem and the remedy."""
    name, equals, _ = line.partition("=")
    name = name.rstrip()
    if not equals or not name:
        return f"{line!r} is not 'key = value'", "write 'key = value' or remove it"
    if section_line is None:
        return f"key {name!r} before any section", "move it below a section header"
    line_by_option = scan.option_lines_by_section[section_line]
    if name in line_by_option:
        return (
            f"key {name!r} is already set on line {line_by_option[name]}",
            "keep one of the two",
        )
    line_by_option[name] = line_number
    return None


def _line_fault(file: str, line: int, problem: str, remedy: str) -> FileFault:
    return FileFault(file=file, line=line, problem=problem, remedy=remedy)


def format_plans(rows_by_key: Rows, *, comments: Sequence[str] = ()) -> str:
    """Return the text of ``plans.ini``.

    Each service is followed by its routes, then each plan by its allowances.
    ``comments`` are written at the head of the file.
    """
    return _format_rows(
        rows_by_key, (("service", "route"), ("plan", "allowance")), comments
    )


def format_customers(rows_by_key: Rows, *, comments: Sequence[str] = ()) -> str:
    """Return the text of ``customers.ini`` with ``comments`` at its head."""
    return _format_rows(rows_by_key, (("customer",),), comments)


def _format_rows(
    rows_by_key: Rows, kind_groups: Sequence[Sequence[str]], comments: Sequence[str]
) -> str:
    blocks = ["".join(f"# {comment}\n" for comment in comments)] if comments else []
    for kinds in kind_groups:
        split_keys = (split_key(key) for key in rows_by_key)
        sections = [(names, kind) for kind, names in split_keys if kind in kinds]
        # By first name, then by kind: a service before its routes, a plan before its
        # allowances.
        sections.sort(key=lambda item: (item[0][0], kinds.index(item[1]), item[0]))
        for names, kind in sections:
            fields = rows_by_key[f"{kind}/{' '.join(names)}"]
            blocks.append("".join(_format_section_lines(kind, names, fields)))
    return "\n".join(blocks)


def _format_section_lines(
    kind: str, names: Sequence[str], fields: Fields
) -> Iterator[str]:
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
