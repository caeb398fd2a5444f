"""Writes the lists of a version to list files."""

from pathlib import Path

from ...exceptions import CommandError
from ..coordination.history import Head
from ..state.listfiles import (
    CUSTOMERS_FILE,
    PLANS_FILE,
    format_customers,
    format_plans,
)
from ..state.lists import Lists
from .exit_codes import ExitCode
from .options import usage_error


def write_list_files(
    head: Head, lists: Lists, directory: Path, *, replace: bool
) -> tuple[Path, Path]:
    """Write both list files to ``directory`` and return their paths.

    Existing files are an error unless ``replace`` is set.
    """
    comment = f"cassiasail version {head.version}, revision {head.revision}"
    plans_path, customers_path = directory / PLANS_FILE, directory / CUSTOMERS_FILE
    try:
        text_by_path = {
            plans_path: format_plans(lists.rows_by_key, comments=[comment]),
            customers_path: format_customers(lists.rows_by_key, comments=[comment]),
        }
    except (KeyError, ValueError, TypeError, ArithmeticError) as error:
        raise CommandError(
            f"version {head.version} has rows that cannot be written to files "
            f"({error!r}); 'cassiasail show --json' prints them",
            exit_code=ExitCode.STORE_DAMAGED,
        )
    existing_paths = [str(path) for path in text_by_path if path.exists()]
    if existing_paths and not replace:
        raise usage_error(
            f"{' and '.join(existing_paths)} would be overwritten; choose another "
            "directory or add --force"
        )
    try:
        directory.mkdir(parents=True, exist_ok=True)
        for path, text in text_by_path.items():
            path.write_text(text, encoding="utf-8")
    except OSError as error:
        raise usage_error(f"cannot write to {directory}: {error.strerror}")
    return plans_path, customers_path
