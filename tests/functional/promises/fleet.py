"""Runs six VMs in two regions as real processes for synchronous test steps."""

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
from devtools.layouts import STORE_PORT, TARGET_PORT, Layout, Vm
from devtools.processes import LayoutProcesses
from devtools.quickstart import run_cli_checked
from devtools.reservations import reserve_net

T = TypeVar("T")

# Generous, so that a slow machine does not fail a test.
WAIT_TIMEOUT_SECONDS = 40.0
# A low maximum deadline lets a restarted shard owner grant permits sooner.
EXTRA_SETTINGS = "[limits]\nmax_deadline = 5\nmax_body = 2097152\n"
SERVICES = ("array-ctl", "outlook-svc", "outlook-svc")
# Names of the data centres with their regions.
DATA_CENTRES = (("kzn-1", "kzn-coast"), ("ec-1", "ec-coast"))

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
    """Result of one call.

    ``outcome`` is "answered", "wrong" (an unexpected response), "lost" (no response),
    "truncated" or the reason of a refusal. ``executed`` comes from a refusal and is
    empty otherwise.
    """

    outcome: str
    executed: str = ""
    status: int = 0
    body: bytes = b""
    seconds: float = 0.0


def six_vms(net: int) -> Layout:
    """Return three VMs in each of two regions; each region has every service."""

    def build_vm(centre: int, number: int) -> Vm:
        data_centre, region = DATA_CENTRES[centre]
        return Vm(
            name=f"{data_centre}-{number + 1}",
            region=region,
            data_centre=data_centre,
            ip=f"127.{net}.{centre + 1}.{number + 1}",
            service=SERVICES[number],
            # No call of a scenario has to wait for a slot.
            slots=60,
        )

    positions = itertools.product(range(len(DATA_CENTRES)), range(len(SERVICES)))
    return Layout(
        name="promises",
        vms=tuple(build_vm(*position) for position in positions),
        store=f"127.{net}.0.1:{STORE_PORT}",
        store_region=DATA_CENTRES[0][1],
        region_delay_ms=12.0,
        region_mbit=30.0,
    )


class Fleet:
    """Running processes of the fleet, with actions of callers and operators."""

    def __init__(self, runner: asyncio.Runner) -> None:
        self._runner = runner
        self.layout = six_vms(reserve_net())
        self.vms = self.layout.vms
        self.version = 0
        self._keys = itertools.count(1)

    def run(self, coroutine: Coroutine[Any, Any, T]) -> T:
        """Run ``coroutine`` on the event loop of the fleet."""
        return self._runner.run(coroutine)

    async def start(self) -> None:
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

    async def stop(self) -> None:
        """Stop all processes; nothing is in flight, so SIGKILL loses no call."""
        for vm in self.vms:
            self.processes.signal(f"daemon-{vm.name}", signal.SIGKILL)
            self.processes.signal(f"target-{vm.name}", signal.SIGKILL)
        await self.store.close()
        await self.http.close()
        await self.processes.stop()

    # Faults.

    def is_running(self, name: str) -> bool:
        """Return whether a process of the layout is running."""
        return self.processes.is_running(name)

    async def kill(self, name: str) -> None:
        """Kill a process without a graceful shutdown and wait for its exit."""
        self.processes.signal(name, signal.SIGKILL)
        await self.processes.wait_exit(name)

    async def set_region_cut(self, cut: bool) -> None:
        """Cut or restore the emulated link between the regions."""
        for vm in self.vms:
            url = f"http://{vm.admin}/emulation"
            async with self.http.post(url, json={"cut": cut}) as response:
                response.raise_for_status()

    async def restart_stopped_processes(self) -> None:
        """Start every daemon and target that is not running."""
        for vm in self.vms:
            if not self.is_running(f"daemon-{vm.name}"):
                await self.processes.start_daemon(vm)
            if not self.is_running(f"target-{vm.name}"):
                await self.processes.start_target(vm)

    async def clear_faults(self) -> None:
        """Clear all faults and wait until every daemon serves calls."""
        await self.processes.set_faults(
            delay=0.0, down=False, refuse_writes=False, lose_answers=0
        )
        await self.restart_stopped_processes()
        await self.wait_until(self._all_daemons_respond)
        await self.set_region_cut(False)
        await self.wait_until(self._all_daemons_serve)

    async def _all_daemons_respond(self) -> bool:
        for vm in self.vms:
            await self.processes.get_json(f"http://{vm.admin}/versions")
        return True

    async def _all_daemons_serve(self) -> bool:
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
        """Return how many ready targets of a service a daemon lists."""
        url = f"http://{vm.admin}/explain?customer=desk&service={service}"
        targets = (await self.processes.get_json(url))["targets"]
        return sum(1 for row in targets if row["state"] == "ready")

    # Operators.

    async def commit(self, plans: str = PLANS, customers: str = CUSTOMERS) -> int:
        """Commit lists with the command line.

        Each commit changes the contact, so that none of them is empty.
        """
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
        """Send one call and check that the response belongs to it."""
        fields = {"Cassiasail-Customer": customer}
        for name, value in (headers or {}).items():
            fields[name.replace("_", "-")] = str(value)
        started = time.monotonic()
        try:
            async with self.http.request(
                method, f"http://{vm.http}{path}", headers=fields, data=body
            ) as response:
                data = await response.read()
                content_type, status = response.content_type, response.status
        except aiohttp.ClientPayloadError:
            return Result(outcome="truncated")
        except (aiohttp.ClientError, TimeoutError):
            return Result(outcome="lost")
        seconds = time.monotonic() - started
        if content_type == "application/problem+json":
            problem = json.loads(data)
            return Result(
                outcome=problem["reason"],
                executed=problem["executed"],
                status=status,
                body=data,
                seconds=seconds,
            )
        if "Answer-Bytes" in fields:
            valid = len(data) == int(fields["Answer-Bytes"])
        else:
            target_path = "/" + path.split("/", 2)[2]
            valid = json.loads(data) == {
                "path": target_path,
                "echo": (body or b"").decode(),
            }
        outcome = "answered" if status == 200 and valid else "wrong"
        return Result(outcome=outcome, status=status, body=data, seconds=seconds)

    # Records of the targets.

    async def target_page(self, vm: Vm, page: str = "_stats") -> Any:
        """Return a page of the target beside ``vm``."""
        return await self.processes.get_json(f"http://{vm.ip}:{TARGET_PORT}/{page}")

    async def runs_by_key(self) -> Counter[str]:
        """Return how often the running targets executed each idempotency key."""
        runs: Counter[str] = Counter()
        for vm in self.vms:
            if self.is_running(f"target-{vm.name}"):
                runs.update((await self.target_page(vm))["runs_by_key"])
        return runs

    def targets_crashed_by_key(self) -> Counter[str]:
        """Return how many targets each value of the ``Crash`` header has ended."""
        lines = (
            line
            for vm in self.vms
            for line in self.processes.log(f"target-{vm.name}").splitlines()
        )
        return Counter(
            json.loads(line)["crash"] for line in lines if line.startswith('{"crash"')
        )

    # Conditions.

    async def wait_until(
        self,
        condition: Callable[[], Awaitable[bool]],
        timeout: float = WAIT_TIMEOUT_SECONDS,
    ) -> None:
        """Poll until ``condition`` holds; an unreachable process counts as false."""
        async with asyncio.timeout(timeout):
            while True:
                try:
                    if await condition():
                        return
                except (aiohttp.ClientError, TimeoutError):
                    pass
                await asyncio.sleep(0.05)

    async def wait_for_version(self, version: int, vms: Sequence[Vm] = ()) -> None:
        """Wait until daemons have ``version`` or a later one in force."""

        async def reached() -> bool:
            pages = [await self.status(vm) for vm in vms or self.vms]
            return all(page["version"] >= version for page in pages)

        await self.wait_until(reached)


class Load:
    """Sends calls in the background at ``rate`` per second, over ``vms`` in turn."""

    def __init__(
        self, send: Callable[[Vm], Awaitable[Result]], vms: Sequence[Vm], rate: float
    ) -> None:
        self.results: list[Result] = []
        self._send = send
        self._vms = itertools.cycle(vms)
        self._rate = rate
        self._tasks: set[asyncio.Task[None]] = set()
        self._sender = asyncio.create_task(self._send_at_rate())

    async def stop(self) -> list[Result]:
        """Stop sending; return all results once each call has one."""
        self._sender.cancel()
        if self._tasks:
            await asyncio.wait(self._tasks)
        return self.results

    async def _send_at_rate(self) -> None:
        while True:
            task = asyncio.create_task(self._send_one(next(self._vms)))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(1 / self._rate)

    async def _send_one(self, vm: Vm) -> None:
        self.results.append(await self._send(vm))
