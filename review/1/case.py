"""TWICE: an order runs again after its host machine lost power and then stood still.

The clients send orders at one machine, and the worker of another one begins to run
them. The daemon beside that worker is killed and its connections go silent, as in a
loss of power. It is started again, stands still for some seconds, and goes on. No order
may run twice, and none that has run may be answered with a status that says that it
has not.
"""

import asyncio
import signal
import sys
import time
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

from mesh import (  # noqa: E402
    INBOUND,
    READINESS,
    Answer,
    CannotRunError,
    Mesh,
    Record,
    Request,
    Vm,
    Worker,
    call,
    client_headers,
    main,
    route,
)
from proxy import Proxy  # noqa: E402

# Work and deadline of cert-file of censo-viv-grown; the route allows all of that time.
WORK_SECONDS = 0.45
TIMEOUT_MS = 8000
DEADLINE_SECONDS = 8.0
ORDERS = 12
PROMISES = (408, 421, 429, 503)
# Longest stand-still that the site files name for censo-viv.
FREEZE_SECONDS = 3.5
# The platform starts a killed process again after a short delay.
RESTART_DELAY_SECONDS = 0.2
# The daemon sends a keep-alive probe on a connection that was quiet for this long. The
# machine that is back answers it with a reset.
KEEPALIVE_SECONDS = 1.0


async def work(worker: Worker, request: Request) -> tuple[int, bytes]:
    await asyncio.sleep(WORK_SECONDS)
    return 200, f"{request.attempt} filed".encode()


async def case(mesh: Mesh, record: Record, trouble: bool) -> bool:
    entry = mesh.add_vm("entry", zone="z-1", service="front", slots=18, behaviour=work)
    filing = [
        mesh.add_vm(
            f"filing-{number}",
            zone="z-1",
            service="filing",
            slots=18,
            behaviour=work,
            inbound_host=f"{mesh.net}.10{number}",
        )
        for number in (1, 2)
    ]
    proxies = [Proxy((vm.inbound_host, INBOUND), (vm.host, INBOUND)) for vm in filing]
    for proxy in proxies:
        await proxy.start()
    mesh.store.put_configuration(
        1,
        {
            "r-filing": route(
                "/filing/", "filing", kind="unsafe", timeoutMs=TIMEOUT_MS
            ),
            "r-front": route("/front/", "front"),
        },
        ["filing", "front"],
    )
    await mesh.start()
    runs: Counter[str] = Counter()
    last_vm = _count_runs(record, runs)

    async def order(number: int) -> Answer:
        attempt = f"order-{number:03d}"
        record.write("sent", attempt=attempt)
        answer = await call(
            (entry.host, 8304),
            "POST",
            "/filing/certificate",
            client_headers(attempt, DEADLINE_SECONDS),
            b"certificate",
            timeout=DEADLINE_SECONDS + 1,
        )
        record.write("answered", attempt=attempt, status=answer.status)
        return answer

    # One order first, so that connections between the daemons exist.
    await order(0)
    await asyncio.sleep(3.5)
    orders = [asyncio.create_task(order(number)) for number in range(1, ORDERS + 1)]
    await asyncio.sleep(0.15)
    if trouble:
        # The machine at which the orders run now.
        index = [vm.name for vm in filing].index(last_vm[-1])
        await _lose_power_and_freeze(record, filing[index], proxies[index])
    answers = dict(
        zip(
            (f"order-{number:03d}" for number in range(1, ORDERS + 1)),
            await asyncio.gather(*orders),
            strict=True,
        )
    )
    await asyncio.sleep(3.0)
    for proxy in proxies:
        proxy.stop()
    twice = sorted(attempt for attempt, count in runs.items() if count > 1)
    refused = sorted(
        attempt
        for attempt, answer in answers.items()
        if answer.status in PROMISES and runs[attempt]
    )
    record.write("checked", sent=1 + ORDERS, ran_twice=twice, refused_and_ran=refused)
    if not runs:
        raise CannotRunError("no order ran")
    return not twice and not refused


async def _lose_power_and_freeze(record: Record, vm: Vm, proxy: Proxy) -> None:
    """Kill the daemon of ``vm``, start it again, and let it stand still."""
    lost_at = time.monotonic()
    proxy.go_silent()
    vm.signal(signal.SIGKILL)
    await vm.wait_exit(5)
    await asyncio.sleep(RESTART_DELAY_SECONDS)
    await vm.start_daemon()
    proxy.come_back()
    deadline = time.monotonic() + 3
    while time.monotonic() < deadline:
        answer = await call(
            (vm.host, READINESS), "GET", "/v1/ready", {"Host": "p"}, timeout=0.3
        )
        if answer.status:
            break
        await asyncio.sleep(0.02)
    vm.signal(signal.SIGSTOP)
    frozen_at = time.monotonic()
    await asyncio.sleep(max(0.0, lost_at + KEEPALIVE_SECONDS - frozen_at))
    record.write("connections_reset", number=proxy.reset_silent())
    await asyncio.sleep(frozen_at + FREEZE_SECONDS - time.monotonic())
    vm.signal(signal.SIGCONT)


def _count_runs(record: Record, runs: Counter[str]) -> list[str]:
    """Count each run that a worker records; return the list of their machines."""
    write = record.write
    names: list[str] = []

    def counting(event: str, **fields: object) -> None:
        if event == "run":
            runs[str(fields["attempt"])] += 1
            names.append(str(fields["vm"]))
        write(event, **fields)

    record.write = counting  # type: ignore[method-assign]
    return names


if __name__ == "__main__":
    main(case, FOLDER)
