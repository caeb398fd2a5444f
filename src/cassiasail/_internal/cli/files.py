"""The list files named on the command line."""

from collections.abc import Sequence
from pathlib import Path

from ...exceptions import CommandError
from ..state.listcheck import check_files
from ..state.listfiles import CUSTOMERS_FILE, PLANS_FILE, FileFault, SourceFile
from ..state.lists import Lists
from .exit_codes import ExitCode
from .options import usage_error


def load_lists(files: Sequence[str]) -> Lists | list[FileFault]:
    """Return the lists of a directory or of two files, or every fault."""
    plans, customers = _paths(files)
    return check_files(_read(plans), _read(customers))


def _paths(files: Sequence[str]) -> tuple[Path, Path]:
    if len(files) == 1 and Path(files[0]).is_dir():
        directory = Path(files[0])
        return directory / PLANS_FILE, directory / CUSTOMERS_FILE
    paths = [Path(file) for file in files]
    plans = [path for path in paths if path.name.startswith("plans")]
    customers = [path for path in paths if path.name.startswith("customers")]
    if len(paths) == 2 and len(plans) == len(customers) == 1:
        return plans[0], customers[0]
    raise usage_error(
        "both lists make one edit; name a directory that holds plans.ini and "
        "customers.ini, or two files, plans*.ini and customers*.ini"
    )


def _read(path: Path) -> SourceFile:
    try:
        # Other tools may have put a byte order mark first.
        text = path.read_text(encoding="utf-8-sig")
    except OSError as error:
        raise usage_error(f"cannot read {path}: {error.strerror}; correct the path")
    except UnicodeDecodeError as error:
        raise CommandError(
            f"{path}: byte {error.start} is not UTF-8; save the file as UTF-8",
            exit_code=ExitCode.INPUT_FAULTS,
        )
    return SourceFile(name=str(path), text=text)
