"""Baseline daemons for the fleet bench: "poll" and "push".

``poll``: every daemon polls the store for a newer version. ``push``: one daemon polls
and sends the complete lists to every other one over a websocket. Both use the store
client, codecs, byte counters and admin pages of ``cassiasaild``. Neither keeps a list
of members, so their idle traffic is a lower bound.
"""

import argparse
import asyncio
import signal
from pathlib import Path
from typing import Any

from cassiasail._internal.clock import SystemClock
from cassiasail._internal.coordination.store import StoreFailure
from cassiasail._internal.ids import DaemonId
from cassiasail._internal.protocol import messages
from cassiasail._internal.settings import Settings, load
from cassiasail._internal.state import listcodec
from cassiasail._internal.state.versions import AppliedVersion, VersionedLists
from cassiasail._internal.transport.admin_http import AdminServer
from cassiasail._internal.transport.peer_listener import start_listener
from cassiasail._internal.transport.peers import (
    CallPool,
    ControlLinks,
    LinkId,
    LocalPeer,
)
from cassiasail._internal.transport.shaping import RegionLink
from cassiasail._internal.transport.store_http import HttpStore

POLL_INTERVAL_SECONDS = 0.5  # as in ``cassiasaild``


class BaselineDaemon:
    """One daemon, which polls the store if ``polls``.

    It connects to ``peers`` and sends them each version that it applies.
    """

    def __init__(self, settings: Settings, *, polls: bool, peers: list[str]) -> None:
        self.settings = settings
        self.polls = polls
        self.clock = SystemClock()
        self.versions = VersionedLists()
        self.applied_at: dict[str, float] = {}
        self.open_links: set[LinkId] = set()
        self.peers = peers
        self.store = HttpStore(address=settings.store_address, clock=self.clock)
        link = RegionLink(
            delay=settings.emulation_region_delay_ms / 1000,
            rate=settings.emulation_region_mbit * 1e6 / 8,
        )
        self.local = LocalPeer(
            daemon=DaemonId(settings.peer_address), region=settings.region, link=link
        )
        self.links = ControlLinks(
            local=self.local,
            on_open=self._on_open,
            on_message=self._on_message,
            on_close=self.open_links.discard,
            on_dial_failed=self._schedule_dial,
        )

    async def run(self, stopped: asyncio.Event) -> None:
        """Run until ``stopped`` is set."""
        pool = CallPool(
            local=self.local,
            serve_call=_reject_call,
            serve_request=_reject_call,
            load_report_for=lambda head: None,
        )
        await start_listener(
            self.settings.peer_address,
            local=self.local,
            control=self.links,
            calls=pool,
        )
        admin = AdminServer(
            status=lambda: {"version": self.versions.version},
            explain=lambda customer, service: None,
            offer=lambda data: None,
            is_ready=lambda: True,
            json_pages={"/versions": lambda: dict(self.applied_at)},
            cut_link=None,
        )
        await admin.start(self.settings.admin_address)
        for address in self.peers:
            self.links.dial(address)
        while not stopped.is_set():
            if self.polls:
                await self._poll()
            await asyncio.sleep(POLL_INTERVAL_SECONDS)

    async def _poll(self) -> None:
        rows = await self.store.read([listcodec.HEAD_KEY])
        row = None if isinstance(rows, StoreFailure) else rows[listcodec.HEAD_KEY]
        if row is None:
            return
        head = listcodec.decode_head(row.value)
        if head.version <= self.versions.version:
            return
        is_next = head.version == self.versions.version + 1
        name = head.delta if is_next and head.delta else head.snapshot
        data = await self.store.get_object(name)
        if not isinstance(data, bytes):
            return
        if name == head.delta:
            self._record_applied(
                self.versions.apply_delta(listcodec.decode_delta(data))
            )
        else:
            self._record_applied(
                self.versions.apply_snapshot(listcodec.decode_snapshot(data))
            )
        for link in self.open_links:
            self._push(link)

    def _push(self, link: LinkId) -> None:
        message = messages.SnapshotMessage(self.versions.snapshot())
        self.links.send(link, messages.encode(message))

    def _record_applied(self, outcome: Any) -> None:
        if isinstance(outcome, AppliedVersion):
            self.applied_at[str(self.versions.version)] = self.clock.wall()

    def _on_open(self, link: LinkId, address: str | None) -> None:
        if address is None:
            return
        self.open_links.add(link)
        if self.versions.version:
            self._push(link)

    def _on_message(self, link: LinkId, data: bytes) -> None:
        message = messages.decode(data)
        if isinstance(message, messages.SnapshotMessage):
            self._record_applied(self.versions.apply_snapshot(message.snapshot))

    def _schedule_dial(self, address: str) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(POLL_INTERVAL_SECONDS, self.links.dial, address)


async def _reject_call(*_: Any) -> Any:
    raise RuntimeError("a baseline daemon does not serve calls")


async def _run(options: argparse.Namespace) -> None:
    settings = load(options.config)
    addresses = options.peers.read_text().split()
    is_pusher = settings.peer_address == addresses[0]
    daemon = BaselineDaemon(
        settings,
        polls=options.mode == "poll" or is_pusher,
        peers=addresses[1:] if options.mode == "push" and is_pusher else [],
    )
    stopped = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stopped.set)
    await daemon.run(stopped)


def main() -> None:
    """Run one baseline daemon as a process."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--mode", choices=("poll", "push"), required=True)
    parser.add_argument("--peers", type=Path, required=True)
    parser.add_argument("--config", type=Path, required=True)
    asyncio.run(_run(parser.parse_args()))


if __name__ == "__main__":
    main()
