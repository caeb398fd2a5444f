"""Six VMs in two regions as real processes, driven from synchronous steps."""

import asyncio
import itertools
import json
import signal
import time
from collections import Counter
from collections.abc import Awaitable, Callable, Coroutine, Sequence
from dataclasses import dataclass
from typing import Any, TypeVar

import aiohttp
from prometheus_client.parser import text_string_to_metric_families

from cassiasail._internal.clock import SystemClock
from cassiasail._internal.transport.store_http import HttpStore
from devtools.layouts import STORE_PORT, TARGET_PORT, Layout, Vm, free_net
from devtools.processes import LayoutProcesses
from devtools.quickstart import run_cli_checked

T = TypeVar("T")

LIMIT = 40.0  # seconds; generous, so that a slow machine does not fail a test
# A short longest deadline lets a restarted shard owner grant permits sooner.
EXTRA_SETTINGS = "[limits]\nmax_deadline = 5\nmax_body = 2097152\n"
SERVICES = ("array-ctl", "outlook-svc", "outlook-svc")
CENTRES = (("kzn-1", "kzn-coast"), ("ec-1", "ec-coast"))

PLANS = """\
[service array-ctl]
[route array-ctl /orders]
class = order
deadline = 5s
idempotent = no
idempotency_key = required
[service outlook-svc]
[route outlook-svc /outlooks]
class = lookup
deadline = 5s
[plan desk]
[allowance desk array-ctl /orders]
rate = 200
burst = 200
in_flight = 200
[allowance desk outlook-svc /outlooks]
rate = 400
burst = 400
in_flight = 200
[plan small]
[allowance small outlook-svc /outlooks]
rate = 16
burst = 16
in_flight = 40
"""
CUSTOMERS = "[customer desk]\nplan = desk\n[customer small]\nplan = small\n"


@dataclass(frozen=True, slots=True, kw_only=True)
class Result:
    """What a caller saw; ``outcome`` is "answered", "lost", "cut" or a reason.

    ``executed`` is that of a refusal, empty otherwise.
    """

    outcome: str
    executed: str = ""
    status: int = 0
    body: bytes = b""
    seconds: float = 0.0


def six_vms(net: int) -> Layout:
    """Return three VMs in each of two regions; each has every service."""

    def place(centre: int, number: int) -> Vm:
        data_centre, region = CENTRES[centre]
        return Vm(
            name=f"{data_centre}-{number + 1}",
            region=region,
            data_centre=data_centre,
            ip=f"127.{net}.{centre + 1}.{number + 1}",
            service=SERVICES[number],
            # No call of a scenario has to wait for a slot.
            slots=60,
        )

    places = itertools.product(range(len(CENTRES)), range(len(SERVICES)))
    return Layout(
        name="promises",
        vms=tuple(place(*where) for where in places),
        store=f"127.{net}.0.1:{STORE_PORT}",
        store_region=CENTRES[0][1],
        region_delay_ms=12.0,
        region_mbit=30.0,
    )


class Fleet:
    """Running processes and what callers and operators do with them."""

    def __init__(self, runner: asyncio.Runner) -> None:
        self._runner = runner
        self.layout = six_vms(free_net())
        self.vms = self.layout.vms
        self.version = 0
        self._keys = itertools.count(1)

    def run(self, work: Coroutine[Any, Any, T]) -> T:
        """Run ``work`` on the loop of the fleet."""
        return self._runner.run(work)

    async def open(self) -> None:
        """Start all processes and commit the first version."""
        self.processes = LayoutProcesses(
            layout=self.layout, extra_settings=EXTRA_SETTINGS
        )
        self.http = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=True),
            timeout=aiohttp.ClientTimeout(total=20),
        )
        self.store = HttpStore(address=self.layout.store, clock=SystemClock())
        await self.processes.start()
        await self.commit()

    async def close(self) -> None:
        """End all processes; nothing is in flight, so they are killed."""
        for vm in self.vms:
            self.processes.signal(f"daemon-{vm.name}", signal.SIGKILL)
            self.processes.signal(f"target-{vm.name}", signal.SIGKILL)
        await self.store.close()
        await self.http.close()
        await self.processes.stop()

    # Faults.

    def alive(self, name: str) -> bool:
        """Return whether a process of the layout runs."""
        return self.processes.is_running(name)

    async def kill(self, name: str) -> None:
        """End a process as a crash does."""
        self.processes.signal(name, signal.SIGKILL)
        await self.processes.wait_exit(name)

    async def cut(self, cut: bool) -> None:
        """Cut or heal the link between the regions."""
        for vm in self.vms:
            url = f"http://{vm.admin}/emulation"
            async with self.http.post(url, json={"cut": cut}) as response:
                response.raise_for_status()

    async def restart_missing(self) -> None:
        """Start every daemon and target that does not run."""
        for vm in self.vms:
            if not self.alive(f"daemon-{vm.name}"):
                await self.processes.start_daemon(vm)
            if not self.alive(f"target-{vm.name}"):
                await self.processes.start_target(vm)

    async def rest(self) -> None:
        """Undo all faults and wait until the whole fleet serves calls."""
        await self.processes.faults(
            delay=0.0, down=False, refuse_writes=False, lose_answers=0
        )
        await self.restart_missing()
        await self.wait(self._all_well)
        await self.cut(False)
        await self.wait(self._all_serve)

    async def _all_well(self) -> bool:
        for vm in self.vms:
            await self.processes.get_json(f"http://{vm.admin}/versions")
        return True

    async def _all_serve(self) -> bool:
        for vm in self.vms:
            page = await self.status(vm)
            if page["version"] < self.version or page["members"] != {
                "alive": len(self.vms),
                "unreachable": 0,
                "dead": 0,
            }:
                return False
            for service in ("array-ctl", "outlook-svc"):
                if await self.ready_targets(vm, service) != SERVICES.count(service) * 2:
                    return False
            if (await self.lookup(vm)).outcome != "answered":
                return False
            if (await self.order(vm)).outcome != "answered":
                return False
        return True

    async def ready_targets(self, vm: Vm, service: str) -> int:
        """Return how many ready targets of a service a daemon knows."""
        url = f"http://{vm.admin}/explain?customer=desk&service={service}"
        targets = (await self.processes.get_json(url))["targets"]
        return sum(1 for row in targets if row["state"] == "ready")

    # Operators.

    async def commit(self, plans: str = PLANS, customers: str = CUSTOMERS) -> int:
        """Commit lists with the command line; each has a different contact."""
        directory = self.processes.directory / "lists"
        directory.mkdir(exist_ok=True)
        (directory / "plans.ini").write_text(plans)
        (directory / "customers.ini").write_text(
            f"{customers}contact = edit {next(self._keys)}\n"
        )
        shown = json.loads(await run_cli_checked(self.layout, "show", "--json"))
        expected = f"--expect={shown['revision']}"
        await run_cli_checked(self.layout, "apply", str(directory), expected)
        self.version = shown["version"] + 1
        return self.version

    async def status(self, vm: Vm) -> dict[str, Any]:
        """Return the status page of a daemon."""
        page: dict[str, Any] = await self.processes.get_json(
            f"http://{vm.admin}/status"
        )
        return page

    async def metric(self, vm: Vm, name: str, **labels: str) -> float:
        """Return the sum of the samples of a metric with these labels."""
        async with self.http.get(f"http://{vm.admin}/metrics") as response:
            text = await response.text()
        return sum(
            sample.value
            for family in text_string_to_metric_families(text)
            for sample in family.samples
            if sample.name == name and labels.items() <= sample.labels.items()
        )

    # Callers.

    def new_key(self) -> str:
        """Return an idempotency key that no other call has."""
        return f"key-{next(self._keys)}"

    async def lookup(
        self, vm: Vm, *, customer: str = "desk", **headers: object
    ) -> Result:
        """Send an idempotent call through ``vm``."""
        path = f"/outlook-svc/outlooks/{next(self._keys)}"
        return await self.send(vm, "GET", path, customer=customer, headers=headers)

    async def order(
        self, vm: Vm, key: str | None = None, *, attempt: int = 1, **headers: object
    ) -> Result:
        """Send a non-idempotent call; its body is its key."""
        key = key or self.new_key()
        fields = {
            "Idempotency-Key": key,
            "Cassiasail-Attempt": attempt,
            **headers,
        }
        path, body = "/array-ctl/orders/umgeni", key.encode()
        return await self.send(vm, "POST", path, headers=fields, body=body)

    async def send(
        self,
        vm: Vm,
        method: str,
        path: str,
        *,
        customer: str = "desk",
        headers: dict[str, object] | None = None,
        body: bytes | None = None,
    ) -> Result:
        """Send one call and judge the answer against its own request."""
        fields = {"Cassiasail-Customer": customer}
        for name, value in (headers or {}).items():
            fields[name.replace("_", "-")] = str(value)
        started = time.monotonic()
        try:
            async with self.http.request(
                method, f"http://{vm.http}{path}", headers=fields, data=body
            ) as response:
                data = await response.read()
                kind, status = response.content_type, response.status
        except aiohttp.ClientPayloadError:
            return Result(outcome="cut")
        except (aiohttp.ClientError, TimeoutError):
            return Result(outcome="lost")
        seconds = time.monotonic() - started
        if kind == "application/problem+json":
            problem = json.loads(data)
            return Result(
                outcome=problem["reason"],
                executed=problem["executed"],
                status=status,
                body=data,
                seconds=seconds,
            )
        if "Answer-Bytes" in fields:
            whole = len(data) == int(fields["Answer-Bytes"])
        else:
            local = "/" + path.split("/", 2)[2]
            whole = json.loads(data) == {"path": local, "echo": (body or b"").decode()}
        outcome = "answered" if status == 200 and whole else "wrong"
        return Result(outcome=outcome, status=status, body=data, seconds=seconds)

    # What the targets did.

    async def target(self, vm: Vm, page: str = "_stats") -> Any:
        """Return a page of the target beside ``vm``."""
        return await self.processes.get_json(f"http://{vm.ip}:{TARGET_PORT}/{page}")

    async def runs_by_key(self) -> Counter[str]:
        """Return how often the living targets ran each key."""
        runs: Counter[str] = Counter()
        for vm in self.vms:
            if self.alive(f"target-{vm.name}"):
                runs.update((await self.target(vm))["runs_by_key"])
        return runs

    # Conditions.

    async def wait(
        self, condition: Callable[[], Awaitable[bool]], limit: float = LIMIT
    ) -> None:
        """Wait until ``condition`` holds; an unreachable process makes it false."""
        async with asyncio.timeout(limit):
            while True:
                try:
                    if await condition():
                        return
                except (aiohttp.ClientError, TimeoutError):
                    pass
                await asyncio.sleep(0.05)

    async def wait_version(self, version: int, vms: Sequence[Vm] = ()) -> None:
        """Wait until daemons have ``version`` or a later one in force."""

        async def reached() -> bool:
            pages = [await self.status(vm) for vm in vms or self.vms]
            return all(page["version"] >= version for page in pages)

        await self.wait(reached)


class Load:
    """Calls sent steadily in the background, each through the next of ``vms``."""

    def __init__(
        self, send: Callable[[Vm], Awaitable[Result]], vms: Sequence[Vm], rate: float
    ) -> None:
        self.results: list[Result] = []
        self._send = send
        self._vms = itertools.cycle(vms)
        self._rate = rate
        self._tasks: set[asyncio.Task[None]] = set()
        self._pacing = asyncio.create_task(self._pace())

    async def stop(self) -> list[Result]:
        """Send no more; return all results, once each call has one."""
        self._pacing.cancel()
        if self._tasks:
            await asyncio.wait(self._tasks)
        return self.results

    async def _pace(self) -> None:
        while True:
            task = asyncio.create_task(self._one(next(self._vms)))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(1 / self._rate)

    async def _one(self, vm: Vm) -> None:
        self.results.append(await self._send(vm))
