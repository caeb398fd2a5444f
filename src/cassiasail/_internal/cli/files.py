"""Reads the list files that are named on the command line."""

from collections.abc import Sequence
from pathlib import Path

from ...exceptions import CommandError
from ..state.listcheck import check_files
from ..state.listfiles import CUSTOMERS_FILE, PLANS_FILE, FileFault, SourceFile
from ..state.lists import Lists
from .exit_codes import ExitCode
from .options import usage_error


def load_list_files(files: Sequence[str]) -> Lists | list[FileFault]:
    """Return the lists of a directory or of two files, or all faults in them."""
    plans_path, customers_path = _resolve_paths(files)
    return check_files(_read_source_file(plans_path), _read_source_file(customers_path))


def _resolve_paths(files: Sequence[str]) -> tuple[Path, Path]:
    """Return the paths of the plans file and of the customers file."""
    if len(files) == 1 and Path(files[0]).is_dir():
        directory = Path(files[0])
        return directory / PLANS_FILE, directory / CUSTOMERS_FILE
    paths = [Path(file) for file in files]
    plans_paths = [path for path in paths if path.name.startswith("plans")]
    customers_paths = [path for path in paths if path.name.startswith("customers")]
    if len(paths) == 2 and len(plans_paths) == len(customers_paths) == 1:
        return plans_paths[0], customers_paths[0]
    raise usage_error(
        "an edit consists of both lists; name a directory that holds plans.ini and "
        "customers.ini, or two files, plans*.ini and customers*.ini"
    )


def _read_source_file(path: Path) -> SourceFile:
    try:
        # Skips a byte order mark, which some editors put at the start of a file.
        text = path.read_text(encoding="utf-8-sig")
    except OSError as error:
        raise usage_error(f"cannot read {path}: {error.strerror}; correct the path")
    except UnicodeDecodeError as error:
        raise CommandError(
            f"{path}: byte {error.start} is not UTF-8; save the file as UTF-8",
            exit_code=ExitCode.INPUT_FAULTS,
        )
    return SourceFile(name=str(path), text=text)
