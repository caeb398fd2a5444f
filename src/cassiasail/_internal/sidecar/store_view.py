"""Keeps the configuration and the records of the VMs in sync with the store."""

import asyncio
from collections import Counter
from collections.abc import Callable
from random import Random

from ...platform import configuration
from .. import metrics
from ..awake_clock import AwakeClock
from ..coordination.mesh.balancing import Fleet
from ..coordination.mesh.crashes import CrashHistory
from ..coordination.mesh.following import FollowTimes, TableFollower
from ..coordination.mesh.shared_tables import SharedTables
from ..events import EventLog
from ..protocol import table_sync
from ..protocol.exchanges import Address, Exchanger
from ..protocol.http1 import HttpResponse
from ..state.hosts import HostRecord, decode_record
from ..state.mesh_config import ConfigRejected, MeshConfig
from ..state.table_mirror import StoredRow, StoreVersion

# The table in which the daemons publish their records.
HOSTS_TABLE = "hosts"
# How long a long poll waits for a new configuration, as a fraction of the time within
# which it must be applied: short enough to notice a lost response in time, and half of
# the maximum age, because a copy grows older with each daemon that it passes.
CONFIG_WAIT_FRACTION = 0.375
# A relay whose copy of the configuration is older than this is not used as a sync
# source; a fraction of the same time.
CONFIG_MAX_AGE_FRACTION = 0.75
# The same times for the table of VMs. They may be long: host daemons refuse requests
# for leaving targets, so the table is needed only to find new targets.
HOSTS_WAIT_SECONDS = 2.0
HOSTS_MAX_AGE_SECONDS = 4.0
# Delay before a new configuration is decoded, in which the row is passed on. Decoding a
# large one takes a small VM some tenths of a second, which would add up over the
# daemons on the way to the last one.
DECODE_DELAY_SECONDS = 0.02
# Bounds the length of the log line about routes of unknown kinds.
MAX_KINDS_LOGGED = 5


class StoreView:
    """Follows both tables and keeps ``fleet`` and the configuration up to date.

    Callbacks: ``own_row_changed`` gets each version of the row of this VM,
    ``records_restored`` the version of the first copy of the records after the store
    was restored from a backup, ``previous_record_found`` the record that an earlier
    incarnation of this daemon published, ``peer_unreachable`` the address of a VM that
    refused a connection. ``config_apply_seconds`` is the time within which a new
    configuration must be applied, ``first_start`` true if the whole system has never
    run.
    """

    def __init__(
        self,
        *,
        host: str,
        config_apply_seconds: float,
        first_start: bool,
        tables: SharedTables,
        pool: Exchanger,
        fleet: Fleet,
        crashes: CrashHistory,
        own_row_changed: Callable[[StoredRow], None],
        records_restored: Callable[[StoreVersion], None],
        previous_record_found: Callable[[HostRecord], None],
        peer_unreachable: Callable[[Address], None],
        awake: AwakeClock,
        events: EventLog,
        random: Random,
    ) -> None:
        self._host = host
        self._first_start = first_start
        self._tables = tables
        self._pool = pool
        self._fleet = fleet
        self._crashes = crashes
        self._own_row_changed = own_row_changed
        self._previous_record_found = previous_record_found
        self._peer_unreachable = peer_unreachable
        self._awake = awake
        self._events = events
        self._random = random
        self.config: MeshConfig | None = None
        hosts = self._build_follower(
            HOSTS_TABLE,
            FollowTimes(wait=HOSTS_WAIT_SECONDS, max_age=HOSTS_MAX_AGE_SECONDS),
            self._host_row_changed,
            restored=records_restored,
        )
        config = self._build_follower(
            configuration.TABLE,
            FollowTimes(
                wait=CONFIG_WAIT_FRACTION * config_apply_seconds,
                max_age=CONFIG_MAX_AGE_FRACTION * config_apply_seconds,
            ),
            self._config_row_changed,
            starts_after=hosts.first_copy_read,
        )
        self._hosts_loaded = hosts.first_copy_read
        self._follower_by_table = {HOSTS_TABLE: hosts, configuration.TABLE: config}

    @property
    def loaded(self) -> bool:
        """Whether a configuration is in force and the table of VMs was read once."""
        return self.config is not None and self._hosts_loaded.is_set()

    def age_by_table(self) -> dict[str, float]:
        """Return the seconds since the store confirmed each table."""
        return {
            name: follower.age for name, follower in self._follower_by_table.items()
        }

    def version_by_table(self) -> dict[str, StoreVersion]:
        """Return the version of this daemon's copy of each table."""
        return {
            name: follower.version for name, follower in self._follower_by_table.items()
        }

    async def run(self) -> None:
        """Follow the tables until cancelled."""
        async with asyncio.TaskGroup() as group:
            for follower in self._follower_by_table.values():
                group.create_task(follower.run())

    async def serve_sync(self, query: table_sync.SyncQuery) -> HttpResponse:
        """Return the response to another daemon that follows a table here."""
        follower = self._follower_by_table.get(query.table)
        if follower is None:
            return HttpResponse(status=404)
        return table_sync.encode_reply(await follower.serve(query))

    def stop_serving(self) -> None:
        """Make the daemons that follow tables here switch to another sync source."""
        for follower in self._follower_by_table.values():
            follower.stop()

    def _build_follower(
        self,
        table: str,
        times: FollowTimes,
        row_changed: Callable[[StoredRow], None],
        *,
        restored: Callable[[StoreVersion], None] | None = None,
        starts_after: asyncio.Event | None = None,
    ) -> TableFollower:
        return TableFollower(
            tables=self._tables,
            table=table,
            pool=self._pool,
            times=times,
            peers=self._fleet.sync_sources,
            changed=row_changed,
            restored=restored,
            unreachable=self._peer_unreachable,
            copy_missing=self._fleet.record_missing_copy,
            awake=self._awake,
            events=self._events,
            random=self._random,
            peers_known=starts_after,
            first_start=self._first_start,
        )

    def _config_row_changed(self, row: StoredRow) -> None:
        """Apply a new configuration soon, after the row was passed on to followers."""
        if row.key != configuration.KEY or row.deleted:
            return
        delay = 0.0 if self.config is None else DECODE_DELAY_SECONDS
        asyncio.get_running_loop().call_later(delay, self._apply_config, row)

    def _apply_config(self, row: StoredRow) -> None:
        config = configuration.decode_configuration(row.value)
        if isinstance(config, ConfigRejected):
            metrics.MESH_ENTRIES_REFUSED.labels("configuration").inc()
            self._events.write("config_rejected", faults=config.faults[:5])
            return
        current = self.config
        if current is not None and config.version <= current.version:
            if config.version < current.version:
                self._events.write(
                    "config_older", version=config.version, in_force=current.version
                )
            return
        self.config = config
        self._events.write(
            "config_taken", version=config.version, routes=len(config.routes)
        )
        self._report_unknown_kinds(config)

    def _report_unknown_kinds(self, config: MeshConfig) -> None:
        """Log and count the routes whose kind this build doesn't know."""
        routes_by_kind = Counter(
            route.unknown_kind
            for route in config.routes
            if route.unknown_kind is not None
        )
        metrics.MESH_UNKNOWN_KIND_ROUTES.set(routes_by_kind.total())
        if routes_by_kind:
            self._events.write(
                "route_kinds_unknown",
                version=config.version,
                routes_by_kind=dict(routes_by_kind.most_common(MAX_KINDS_LOGGED)),
            )

    def _decode_record(self, row: StoredRow) -> HostRecord | None:
        record = decode_record(row.key, row.value)
        if isinstance(record, HostRecord):
            return record
        metrics.MESH_ENTRIES_REFUSED.labels("host_record").inc()
        self._events.write("record_malformed", host=row.key, reason=record.reason)
        return None

    def _host_row_changed(self, row: StoredRow) -> None:
        record = None if row.deleted else self._decode_record(row)
        for crash in record.crashes if record is not None else ():
            self._crashes.record(crash)
        if row.key == self._host:
            self._own_row_changed(row)
            if record is not None and row.key not in self._fleet.view_by_host:
                self._previous_record_found(record)
            return
        if record is None:
            self._fleet.remove(row.key)
            return
        view = self._fleet.view_by_host.get(row.key)
        is_known = view is not None and view.record == record
        self._fleet.update(record, row.version)
        if is_known:
            return
        self._events.write(
            "host_learnt",
            host=row.key,
            service=record.service,
            target=record.target,
            state=record.state.value,
        )
