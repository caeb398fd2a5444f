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
from .options import Options, split_options, usage_error

# Modules are imported when their command is called, which keeps start-up short.
SUMMARY_BY_COMMAND = {
    "show": "Show the lists of the newest or another version.",
    "export": "Write the lists to files in a directory.",
    "validate": "Check list files without the store.",
    "diff": "Show what list files would change.",
    "edit": "Export the lists and open them in $EDITOR.",
    "apply": "Commit list files as a new version.",
    "history": "List the newest versions.",
    "undo": "Take back one version as a new, higher version.",
    "status": "Show the store, the daemons and the versions of the fleet.",
    "explain": "Show how calls of a customer to a service are treated.",
    "daemon": "Show the status of one daemon.",
    "trace": "Show from logs of sidecars why requests failed.",
}

_OPTION = re.compile(r"--?[A-Za-z]")

_SHARED_OPTIONS = """\
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
        # The reader, for example a pager, went away; the interpreter would fail
        # again when it flushes standard output.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        code = ExitCode.OK
    sys.exit(code)


def run(
    arguments: Sequence[str], *, environ: Mapping[str, str], home: Path
) -> ExitCode:
    """Run one command and return its exit code."""
    options = Options(json="--json" in arguments)
    try:
        options, rest = split_options(arguments, environ, home)
        if not rest or rest[0] in ("-h", "--help", "help"):
            print(_help())
            return ExitCode.OK if rest else ExitCode.USAGE
        invocation = _parse(rest[0], rest[1:])
        return asyncio.run(_execute(invocation, options))
    except CassiasailError as error:
        return _report(error, options, [])


def _parse(command: str, arguments: Sequence[str]) -> Any:
    if command not in SUMMARY_BY_COMMAND:
        known = ", ".join(SUMMARY_BY_COMMAND)
        raise usage_error(f"unknown command {command!r}; use one of {known}")
    module = importlib.import_module(f"{__package__}.commands.{command}")
    parsed: list[Any] = []
    component = {command: _capturing(module.run, parsed)}
    quoted = [command, *map(_quote, arguments)]
    fire.Fire(component, command=quoted, name="cassiasail")
    return parsed[0]


def _quote(argument: str) -> str:
    """Return ``argument`` as the literal of a string, unless it is an option.

    Fire otherwise turns a customer named 42 or None into another value.
    """
    if not _OPTION.match(argument):
        changed = fire.parser.DefaultParseValue(argument) != argument
        return repr(argument) if changed else argument
    name, equals, value = argument.partition("=")
    return f"{name}={value!r}" if equals else name


def _capturing(function: Callable[..., Any], parsed: list[Any]) -> Callable[..., None]:
    """Return ``function`` with its result kept from Fire, which would print it."""

    parameters = inspect.signature(function).parameters

    @functools.wraps(function)
    def capture(*args: Any, **kwargs: Any) -> None:
        for name, value in kwargs.items():
            is_flag = isinstance(parameters[name].default, bool)
            if is_flag and not isinstance(value, bool):
                raise usage_error(f"--{name} takes no value")
            if not is_flag and not isinstance(value, str):
                raise usage_error(f"--{name} needs a value")
        if not all(isinstance(value, str) for value in args):
            raise usage_error("an option lacks its value")
        parsed.append(function(*args, **kwargs))

    return capture


async def _execute(invocation: Any, options: Options) -> ExitCode:
    from .session import SLOW_SECONDS, Session

    session = Session(options)
    try:
        code: ExitCode = await invocation.action(session)
    except CommandError as error:
        known: list[Any] = []
        if error.exit_code == ExitCode.STORE_UNREACHABLE and options.daemons:
            known = await session.ask_daemons("/status")
        return _report(error, options, known)
    finally:
        await session.close()
    if session.slowest_request >= SLOW_SECONDS:
        session.output.note(
            f"note: the store is slow; one request took {session.slowest_request:.1f} s"
        )
    if session.last_step is not None:
        session.last_step()
    return code


def _report(
    error: CassiasailError, options: Options, answers: Sequence[Any]
) -> ExitCode:
    """Print an error, with what daemons know when the store does not answer."""
    from .output import Output
    from .status_text import daemon_data, daemon_table

    code = ExitCode(getattr(error, "exit_code", ExitCode.USAGE))
    output = Output(as_json=options.json)
    if not options.json:
        output.note(f"cassiasail: {error}")
    data: dict[str, Any] = {"error": str(error), "exit_code": code}
    if answers:
        data["daemons"] = [daemon_data(answer) for answer in answers]
    if answers or options.json:
        output.result(data, ["known from the daemons:", *daemon_table(answers)])
    return code


def _help() -> str:
    width = max(map(len, SUMMARY_BY_COMMAND))
    lines = (
        f"  {name.ljust(width)}  {summary}"
        for name, summary in SUMMARY_BY_COMMAND.items()
    )
    return "\n".join(
        (
            "Usage: cassiasail COMMAND [ARGUMENTS] [OPTIONS]",
            "",
            "Commands ('cassiasail COMMAND --help' tells more):",
            *lines,
            "",
            _SHARED_OPTIONS,
        )
    )


if __name__ == "__main__":
    main()
