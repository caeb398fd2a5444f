"""Writing the lists of a version to files."""

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


def export_lists(
    head: Head, lists: Lists, directory: Path, *, replace: bool
) -> tuple[Path, Path]:
    """Write both files and return their paths."""
    comment = f"cassiasail version {head.version}, revision {head.revision}"
    plans, customers = directory / PLANS_FILE, directory / CUSTOMERS_FILE
    try:
        texts = {
            plans: format_plans(lists.rows_by_key, comments=[comment]),
            customers: format_customers(lists.rows_by_key, comments=[comment]),
        }
    except (KeyError, ValueError, TypeError, ArithmeticError) as error:
        raise CommandError(
            f"version {head.version} has rows that cannot be written to files "
            f"({error!r}); 'cassiasail show --json' prints them",
            exit_code=ExitCode.STORE_DAMAGED,
        )
    existing = [str(path) for path in texts if path.exists()]
    if existing and not replace:
        raise usage_error(
            f"{' and '.join(existing)} would be replaced; choose another directory "
            "or add --force"
        )
    try:
        directory.mkdir(parents=True, exist_ok=True)
        for path, text in texts.items():
            path.write_text(text, encoding="utf-8")
    except OSError as error:
        raise usage_error(f"cannot write to {directory}: {error.strerror}")
    return plans, customers
