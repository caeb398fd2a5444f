"""Main program of the sidecar: settings, signals and exit codes."""

import argparse
import asyncio
import os
import signal
from collections.abc import Callable
from pathlib import Path

from ...exceptions import SettingsError
from ...platform.settings import PATH_VARIABLE, SidecarSettings, decode_settings
from ..events import EventLog
from ..startup import load_or_exit
from .runtime import SidecarRuntime

# How often the settings file is checked; the platform may change it without a signal.
SETTINGS_CHECK_SECONDS = 2.0


def settings_path() -> Path:
    """Return the path of the settings file; the environment variable is required."""
    path = os.environ.get(PATH_VARIABLE)
    if path is None:
        raise SettingsError([f"set {PATH_VARIABLE} to the path of the settings file"])
    return Path(path)


def load_settings() -> SidecarSettings:
    """Read and decode the settings file; SettingsError if that fails."""
    try:
        document = settings_path().read_bytes()
    except OSError as error:
        raise SettingsError([f"cannot read the settings: {error}"]) from error
    return decode_settings(document)


async def run(settings: SidecarSettings, metrics_port: int | None) -> None:
    """Run one daemon until SIGTERM or SIGINT; reload the settings on SIGHUP."""
    loop = asyncio.get_running_loop()
    events = EventLog()
    runtime = SidecarRuntime(settings=settings, events=events)
    stopping = asyncio.Event()

    def reload() -> None:
        try:
            runtime.reload(load_settings())
        except SettingsError as error:
            events.write("reload_refused", faults=error.faults)

    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopping.set)
    loop.add_signal_handler(signal.SIGHUP, reload)
    await runtime.start(metrics_port)
    watcher = asyncio.create_task(_watch_settings(reload))
    await stopping.wait()
    watcher.cancel()
    await runtime.stop()


async def _watch_settings(changed: Callable[[], None]) -> None:
    """Call ``changed`` after each change of the settings file, until cancelled."""
    previous = _file_state()
    while True:
        await asyncio.sleep(SETTINGS_CHECK_SECONDS)
        current = _file_state()
        if current != previous:
            previous = current
            changed()


def _file_state() -> tuple[int, int] | None:
    """Return modification time and size of the settings file, None if it is missing."""
    try:
        status = settings_path().stat()
    except OSError:
        # The file is being replaced; the next check finds the new one.
        return None
    return status.st_mtime_ns, status.st_size


def main() -> None:
    """Run the sidecar with the settings file of the platform."""
    parser = argparse.ArgumentParser(prog="cassiasail.sidecar", description=__doc__)
    parser.add_argument(
        "--metrics-port", type=int, help="port that serves the metrics of this daemon"
    )
    parser.add_argument(
        "--check", action="store_true", help="check the settings and exit"
    )
    options = parser.parse_args()
    settings = load_or_exit(load_settings, check_only=options.check)
    asyncio.run(run(settings, options.metrics_port))
