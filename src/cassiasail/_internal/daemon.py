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

EXIT_FAILED = 3


async def run(settings: Settings) -> bool:
    """Run one daemon until SIGTERM or SIGINT, then drain; false after a fault."""
    runtime = Runtime(settings)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        # Setting an event twice changes nothing, nor does a second signal.
        loop.add_signal_handler(number, runtime.stopping.set)
    await runtime.start()
    await runtime.stopping.wait()
    await runtime.drain()
    await runtime.stop()
    return not runtime.failed


def main() -> None:
    """Parse the arguments and run."""
    parser = argparse.ArgumentParser(prog="cassiasaild", description=__doc__)
    parser.add_argument("--config", type=Path, required=True, help="INI settings")
    parser.add_argument(
        "--check", action="store_true", help="check the settings and exit"
    )
    options = parser.parse_args()
    settings = load_or_exit(lambda: load(options.config), check_only=options.check)
    logging.set_verbosity(logging.INFO)
    if not asyncio.run(run(settings)):
        # A supervisor that restarts only after failures must restart it.
        sys.exit(EXIT_FAILED)


if __name__ == "__main__":
    main()
