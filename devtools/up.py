"""Starts a layout, commits its lists and leaves it running until interrupted."""

import argparse
import asyncio
import signal

from .layouts import build_layout
from .processes import LayoutProcesses
from .quickstart import apply_lists, wait_for_version
from .reservations import reserve_net
from .traffic import STREAMS_BY_LAYOUT


async def run(layout_name: str) -> None:
    """Run the layout until SIGINT or SIGTERM."""
    layout = build_layout(layout_name, net=reserve_net())
    processes = LayoutProcesses(layout=layout)
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stopped.set)
    try:
        await processes.start()
        for vm in layout.vms:
            await processes.wait_for(f"http://{vm.admin}/healthz")
        await apply_lists(processes)
        await wait_for_version(processes, 1)
        _print_hints(processes)
        await stopped.wait()
    finally:
        await processes.stop()


def _print_hints(processes: LayoutProcesses) -> None:
    layout = processes.layout
    stream = STREAMS_BY_LAYOUT[layout.name][0]
    daemons = ",".join(vm.admin for vm in layout.vms[:3])
    options = f"--store={layout.store} --daemons={daemons}"
    lists = processes.directory / "lists"
    entry = layout.vms[0].http
    print(f"{len(layout.vms)} daemons are running; try, in another terminal:")
    print(
        f"  curl -i -H 'Cassiasail-Customer: {stream.customer}' "
        f"http://{entry}/{stream.service}{stream.path}"
    )
    print(f"  .venv/bin/cassiasail status {options}")
    print(
        f"  .venv/bin/cassiasail explain {stream.customer} {stream.service} {options}"
    )
    print(f"  edit {lists}/plans.ini, then, with the revision of the commit above:")
    print(f"  .venv/bin/cassiasail apply {lists} --expect=REVISION {options}")
    print(f"  .venv/bin/cassiasail history {options}")
    print(f"logs are in {processes.directory}; press Ctrl-C to stop", flush=True)


def main() -> None:
    """Run as a program."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--layout", choices=sorted(STREAMS_BY_LAYOUT), default="utility"
    )
    asyncio.run(run(parser.parse_args().layout))


if __name__ == "__main__":
    main()
