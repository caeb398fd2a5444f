"""Entry point of the ``cassiasail`` command."""

import asyncio
import functools
import importlib
import inspect
import os
import re
import sys
from collections.abc import Callable, Mapping, Sequence
from pathlib import Path
from typing import Any

import fire

from ...exceptions import CassiasailError, CommandError
from .exit_codes import ExitCode
from .options import Options, parse_shared_options, usage_error

# The module of a command is imported only when that command runs, so that start-up
# stays fast.
SUMMARY_BY_COMMAND = {
    "show": "Show the lists of the newest or another version.",
    "export": "Write the lists to files in a directory.",
    "validate": "Check list files without the store.",
    "diff": "Show what list files would change.",
    "edit": "Export the lists and open them in $EDITOR.",
    "apply": "Commit list files as a new version.",
    "history": "List the newest versions.",
    "undo": "Revert the changes of one version in a new, higher version.",
    "status": "Show the store, the daemons and the versions of the fleet.",
    "explain": "Show how calls of a customer to a service are treated.",
    "daemon": "Show the status of one daemon.",
    "trace": "Show from the decision logs of sidecars why requests failed.",
}

_OPTION_PATTERN = re.compile(r"--?[A-Za-z]")

_SHARED_OPTIONS_HELP = """\
Options of all commands:
  --store HOST:PORT       address of the platform's store
  --daemons ADDR,ADDR     admin addresses of daemons
  --timeout 5s            per request to the store
  --config FILE           settings file; else $CASSIASAIL_CONFIG, else
                          ~/.config/cassiasail.ini
  --json                  print one JSON object"""


def main(argv: Sequence[str] | None = None) -> None:
    """Run one command and exit with its exit code."""
    arguments = sys.argv[1:] if argv is None else argv
    try:
        code = run(arguments, environ=os.environ, home=Path.home())
    except KeyboardInterrupt:
        print(
            "cassiasail: interrupted; if a commit was under way, 'cassiasail history' "
            "tells whether it took effect",
            file=sys.stderr,
        )
        code = ExitCode.INTERRUPTED
    except BrokenPipeError:
        # The reader of standard output, for example a pager, has exited. Output goes
        # to the null device, since the flush at exit would fail again.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        code = ExitCode.OK
    sys.exit(code)


def run(
    arguments: Sequence[str], *, environ: Mapping[str, str], home: Path
) -> ExitCode:
    """Parse the arguments, run one command and return its exit code."""
    options = Options(json="--json" in arguments)
    try:
        options, remaining = parse_shared_options(arguments, environ, home)
        if not remaining or remaining[0] in ("-h", "--help", "help"):
            print(_help_text())
            return ExitCode.OK if remaining else ExitCode.USAGE
        invocation = _parse_command(remaining[0], remaining[1:])
        return asyncio.run(_run_invocation(invocation, options))
    except CassiasailError as error:
        return _print_error(error, options, [])


def _parse_command(command: str, arguments: Sequence[str]) -> Any:
    """Return the invocation that Fire parses from ``arguments``, not yet run."""
    if command not in SUMMARY_BY_COMMAND:
        commands = ", ".join(SUMMARY_BY_COMMAND)
        raise usage_error(f"unknown command {command!r}; use one of {commands}")
    module = importlib.import_module(f"{__package__}.commands.{command}")
    parsed: list[Any] = []
    component = {command: _capture_result(module.run, parsed)}
    quoted = [command, *map(_quote_for_fire, arguments)]
    fire.Fire(component, command=quoted, name="cassiasail")
    return parsed[0]


def _quote_for_fire(argument: str) -> str:
    """Return ``argument``, quoted if needed so that Fire parses it as a string.

    Without quotes, Fire converts a customer named 42 or None to a number or to None.
    For an option, only the value after the equals sign is quoted.
    """
    if not _OPTION_PATTERN.match(argument):
        is_converted = fire.parser.DefaultParseValue(argument) != argument
        return repr(argument) if is_converted else argument
    name, equals, value = argument.partition("=")
    return f"{name}={value!r}" if equals else name


def _capture_result(
    function: Callable[..., Any], parsed: list[Any]
) -> Callable[..., None]:
    """Wrap ``function`` to append its result to ``parsed`` and return None to Fire.

    Fire prints what a function returns. The wrapper also checks that flags have no
    value and that all other options have one.
    """

    parameters = inspect.signature(function).parameters

    @functools.wraps(function)
    def check_and_capture(*args: Any, **kwargs: Any) -> None:
        for name, value in kwargs.items():
            is_flag = isinstance(parameters[name].default, bool)
            if is_flag and not isinstance(value, bool):
                raise usage_error(f"--{name} takes no value")
            if not is_flag and not isinstance(value, str):
                raise usage_error(f"--{name} needs a value")
        if not all(isinstance(value, str) for value in args):
            raise usage_error("an option lacks its value")
        parsed.append(function(*args, **kwargs))

    return check_and_capture


async def _run_invocation(invocation: Any, options: Options) -> ExitCode:
    """Run a parsed command in a session and print a note if the store was slow.

    If the store is unreachable, the status of the daemons is printed with the error.
    """
    from .session import SLOW_REQUEST_SECONDS, Session

    session = Session(options)
    try:
        code: ExitCode = await invocation.action(session)
    except CommandError as error:
        statuses: list[Any] = []
        if error.exit_code == ExitCode.STORE_UNREACHABLE and options.daemons:
            statuses = await session.query_daemons("/status")
        return _print_error(error, options, statuses)
    finally:
        await session.close()
    if session.slowest_request_seconds >= SLOW_REQUEST_SECONDS:
        session.output.print_note(
            "note: the store is slow; one request took "
            f"{session.slowest_request_seconds:.1f} s"
        )
    if session.after_close is not None:
        session.after_close()
    return code


def _print_error(
    error: CassiasailError, options: Options, statuses: Sequence[Any]
) -> ExitCode:
    """Print an error and the given daemon statuses; return the exit code."""
    from .output import Output
    from .status_text import daemon_data, daemon_table

    code = ExitCode(getattr(error, "exit_code", ExitCode.USAGE))
    output = Output(as_json=options.json)
    if not options.json:
        output.print_note(f"cassiasail: {error}")
    data: dict[str, Any] = {"error": str(error), "exit_code": code}
    if statuses:
        data["daemons"] = [daemon_data(status) for status in statuses]
    if statuses or options.json:
        output.print_result(data, ["known from the daemons:", *daemon_table(statuses)])
    return code


def _help_text() -> str:
    command_width = max(map(len, SUMMARY_BY_COMMAND))
    lines = (
        f"  {name.ljust(command_width)}  {summary}"
        for name, summary in SUMMARY_BY_COMMAND.items()
    )
    return "\n".join(
        (
            "Usage: cassiasail COMMAND [ARGUMENTS] [OPTIONS]",
            "",
            "Commands ('cassiasail COMMAND --help' shows details):",
            *lines,
            "",
            _SHARED_OPTIONS_HELP,
        )
    )


if __name__ == "__main__":
    main()
