"""Sidecar processes beside a store that comes back from a backup."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from functools import partial
from pathlib import Path

from cassiasail._internal.protocol.http1 import HttpResponse
from devtools.platform_stand_in import PlatformStore, Sidecar, configuration, route
from tests.functional.sidecar.test_sidecar import ROUTES, mesh, run, status_of

# Time within which a configuration must be applied and a VM must be known again.
APPLY_SECONDS = 2.0
OUTAGE_SECONDS = 0.3


async def restore(store: PlatformStore, moment: float) -> None:
    """Stop the store for a short time and start it as it was at ``moment``."""
    store.down = True
    await asyncio.sleep(OUTAGE_SECONDS)
    store.restore(time.monotonic() - moment)
    store.down = False


async def until(condition: Callable[[], Awaitable[bool]], seconds: float) -> None:
    async with asyncio.timeout(seconds):
        while not await condition():
            await asyncio.sleep(0.05)


async def serves(sidecars: list[Sidecar], path: str) -> bool:
    results = [await sidecar.get(path) for sidecar in sidecars]
    return all(
        isinstance(each, HttpResponse) and each.status == 200 for each in results
    )


def routes_with(*names: str) -> dict[str, object]:
    return {**ROUTES, **{name: route("one", prefix=f"/{name}/") for name in names}}


def test_change_after_a_restore_of_the_store_is_applied(tmp_path: Path) -> None:
    """Guards against daemons that keep their copy of the store before its restore."""

    async def main() -> None:
        async with mesh(tmp_path, "one", "two", "one") as (store, sidecars):
            moment = time.monotonic()
            for version in range(2, 6):
                store.put("op", "config", configuration(version, ROUTES))
                await asyncio.sleep(0.3)
            await restore(store, moment)
            # The operator writes its newest configuration again, and later the next.
            store.put("op", "config", configuration(5, ROUTES))
            await asyncio.sleep(0.5)
            store.put("op", "config", configuration(6, routes_with("added")))
            await asyncio.sleep(APPLY_SECONDS)
            assert await serves(sidecars, "/added/x")

    run(main)


def test_older_configuration_in_the_backup_does_not_come_into_force(
    tmp_path: Path,
) -> None:
    """Guards against a daemon that goes back to an older configuration."""

    async def main() -> None:
        async with mesh(tmp_path, "one", "two") as (store, sidecars):
            moment = time.monotonic()
            store.put("op", "config", configuration(2, routes_with("added")))
            await until(partial(serves, sidecars, "/added/x"), APPLY_SECONDS)
            await restore(store, moment)
            for _ in range(20):
                assert await serves(sidecars, "/added/x")
                await asyncio.sleep(0.1)
            store.put("op", "config", configuration(3, routes_with("added", "more")))
            await asyncio.sleep(APPLY_SECONDS)
            assert await serves(sidecars, "/added/x")
            assert await serves(sidecars, "/more/x")

    run(main)


def test_record_that_the_backup_lacks_is_written_again(tmp_path: Path) -> None:
    """Guards against a VM that no other one finds after a restore of the store."""

    async def main() -> None:
        async with mesh(tmp_path, "one", "two") as (store, sidecars):
            store.put("op", "config", configuration(2, {**ROUTES, "x": route("three")}))
            moment = time.monotonic()
            late = Sidecar(store=store, name="vm-3", service="three")
            try:
                await late.start_target()
                await late.start_daemon(tmp_path)
                await late.wait_until_ready()
                await until(partial(serves, sidecars, "/three/x"), 5.0)
                await restore(store, moment)
                assert ("hosts", "vm-3") not in store.row_by_id
                await asyncio.sleep(APPLY_SECONDS)
                assert ("hosts", "vm-3") in store.row_by_id
                assert await serves(sidecars, "/three/x")
            finally:
                await late.stop()

    run(main)


def test_leaving_target_in_the_backup_gets_no_requests(tmp_path: Path) -> None:
    """Guards against requests to a target that left before the store was restored."""

    async def main() -> None:
        async with mesh(tmp_path, "one", "one") as (store, (one, two)):
            moment = time.monotonic()
            one.state = "draining"
            assert status_of(await one.send_heartbeat()) == 200
            await two.wait_for_ready_targets(1)
            await restore(store, moment)
            one.received.clear()
            for number in range(30):
                assert await serves([one, two], f"/one/{number}")
                await asyncio.sleep(0.05)
            assert one.received == []
            await two.wait_for_ready_targets(1, 0.5)

    run(main)


def test_targets_are_found_after_two_restores_in_a_row(tmp_path: Path) -> None:
    """Guards against versions of a former era that count as those of the next."""

    async def main() -> None:
        async with mesh(tmp_path, "one", "two", "one") as (store, sidecars):
            moment = time.monotonic()
            for version in (2, 4):
                store.put("op", "config", configuration(version, ROUTES))
                await asyncio.sleep(0.4)
                await restore(store, moment)
                await asyncio.sleep(0.2)
            store.put("op", "config", configuration(6, routes_with("added")))
            await asyncio.sleep(APPLY_SECONDS)
            assert await serves(sidecars, "/added/x")
            for sidecar in sidecars:
                await sidecar.wait_for_ready_targets(3, 0.5)

    run(main)
