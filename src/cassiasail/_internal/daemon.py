"""The program ``cassiasaild``."""

import argparse
import asyncio
import signal
import sys
from pathlib import Path

from absl import logging

from .runtime import Runtime
from .settings import Settings, load
from .startup import load_or_exit

EXIT_INTERNAL_ERROR = 3


async def run(settings: Settings) -> bool:
    """Run a daemon until SIGTERM, SIGINT or an internal error, then drain and stop it.

    Returns whether it stopped without an internal error.
    """
    runtime = Runtime(settings)
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        # A second signal has no effect, because the event is already set.
        loop.add_signal_handler(signal_number, runtime.stopping.set)
    await runtime.start()
    await runtime.stopping.wait()
    await runtime.drain()
    await runtime.stop()
    return not runtime.failed


def main() -> None:
    """Parse the command line, load the settings and run the daemon."""
    parser = argparse.ArgumentParser(prog="cassiasaild", description=__doc__)
    parser.add_argument(
        "--config", type=Path, required=True, help="settings file (INI)"
    )
    parser.add_argument(
        "--check", action="store_true", help="check the settings and exit"
    )
    options = parser.parse_args()
    settings = load_or_exit(lambda: load(options.config), check_only=options.check)
    logging.set_verbosity(logging.INFO)
    if not asyncio.run(run(settings)):
        # Supervisors that restart only failed processes need an exit code other than 0.
        sys.exit(EXIT_INTERNAL_ERROR)


if __name__ == "__main__":
    main()
