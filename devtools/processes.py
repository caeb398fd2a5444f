"""Starts and stops the processes of a layout."""

import asyncio
import signal
import sys
import tempfile
from pathlib import Path
from typing import Any

import aiohttp

from .layouts import TARGET_PORT, Layout, Vm

DAEMON_COMMAND = ("-m", "cassiasail._internal.daemon")
STOP_TIMEOUT_SECONDS = 15.0  # time between SIGTERM and SIGKILL


class LayoutProcesses:
    """The platform stand-in of one layout, and a daemon and target for each VM."""

    def __init__(
        self,
        *,
        layout: Layout,
        extra_settings: str = "",
        targets: bool = True,
    ) -> None:
        self.layout = layout
        self.directory = Path(tempfile.mkdtemp(prefix="cassiasail-"))
        self._extra_settings = extra_settings
        self._with_targets = targets
        self._daemon_command: tuple[str, ...] = DAEMON_COMMAND
        self._process_by_name: dict[str, asyncio.subprocess.Process] = {}
        self.session = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=5))

    def set_daemon_command(self, command: tuple[str, ...]) -> None:
        """Set the interpreter arguments with which daemons are started."""
        self._daemon_command = command

    async def start(self) -> None:
        """Start the platform stand-in, then all daemons and targets."""
        await self.start_platform()
        await asyncio.gather(*(self.start_vm(vm) for vm in self.layout.vms))

    async def start_platform(self) -> None:
        """Start the platform stand-in and wait until it responds."""
        host, _, port = self.layout.store.partition(":")
        await self._spawn(
            "platform", "-m", "devtools.platform", "--host", host, "--port", port
        )
        await self.wait_for(f"http://{self.layout.store}/counters")

    async def start_vm(self, vm: Vm) -> None:
        """Start the daemon and the target of one VM."""
        await self.start_daemon(vm)
        if self._with_targets:
            await self.start_target(vm)

    async def start_daemon(self, vm: Vm) -> None:
        """Start the daemon of one VM; does not wait until it is ready."""
        path = self.directory / f"{vm.name}.ini"
        path.write_text(self.layout.settings_of(vm, extra=self._extra_settings))
        await self._spawn(
            f"daemon-{vm.name}", *self._daemon_command, "--config", str(path)
        )

    async def start_target(self, vm: Vm) -> None:
        """Start the target of one VM."""
        await self._spawn(
            f"target-{vm.name}",
            "-m",
            "devtools.target",
            "--host",
            vm.ip,
            "--port",
            str(TARGET_PORT),
            "--name",
            vm.name,
            "--service",
            vm.service,
            "--slots",
            str(vm.slots),
            "--daemon",
            vm.http,
        )

    async def start_forwarder(self, vm: Vm, port: int) -> None:
        """Start the plain forwarder in front of the target of one VM."""
        await self._spawn(
            "forwarder",
            "-m",
            "devtools.forwarder",
            f"--host={vm.ip}",
            f"--port={port}",
            f"--target={vm.ip}:{TARGET_PORT}",
        )

    def log(self, name: str) -> str:
        """Return what all starts of a process have printed."""
        return (self.directory / f"{name}.log").read_text()

    def pid(self, name: str) -> int:
        """Return the process id of ``daemon-NAME``, ``target-NAME`` or platform."""
        return self._process_by_name[name].pid

    def is_running(self, name: str) -> bool:
        """Return whether a process has been started and has not exited."""
        process = self._process_by_name.get(name)
        return process is not None and process.returncode is None

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to one process that this layout started."""
        process = self._process_by_name[name]
        if process.returncode is None:
            process.send_signal(number)

    async def wait_exit(self, name: str) -> int:
        """Wait until a process has exited and return its exit code."""
        return await self._process_by_name[name].wait()

    async def set_faults(self, **changes: Any) -> None:
        """Set faults of the platform stand-in; see ``devtools.platform``."""
        url = f"http://{self.layout.store}/faults"
        async with self.session.post(url, json=changes) as response:
            response.raise_for_status()

    async def get_json(self, url: str) -> Any:
        """Return the JSON at ``url``."""
        async with self.session.get(url) as response:
            response.raise_for_status()
            return await response.json()

    async def wait_for(self, url: str, timeout: float = 20.0) -> None:
        """Wait until ``url`` responds with success."""
        async with asyncio.timeout(timeout):
            while True:
                try:
                    async with self.session.get(url) as response:
                        if response.status < 300:
                            return
                except aiohttp.ClientError:
                    pass
                await asyncio.sleep(0.1)

    async def stop(self) -> None:
        """Stop every process that is still running."""
        running = [
            process
            for process in self._process_by_name.values()
            if process.returncode is None
        ]
        for process in running:
            process.send_signal(signal.SIGTERM)
        await asyncio.gather(*(_wait_or_kill(process) for process in running))
        await self.session.close()

    async def _spawn(self, name: str, *arguments: str) -> None:
        with (self.directory / f"{name}.log").open("ab") as log:
            self._process_by_name[name] = await asyncio.create_subprocess_exec(
                sys.executable,
                *arguments,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )


async def _wait_or_kill(process: asyncio.subprocess.Process) -> None:
    try:
        async with asyncio.timeout(STOP_TIMEOUT_SECONDS):
            await process.wait()
    except TimeoutError:
        process.kill()
        await process.wait()
