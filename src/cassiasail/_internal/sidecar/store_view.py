"""What this daemon takes over from the store: the configuration and the other VMs."""

import asyncio
from collections.abc import Callable
from random import Random

from ...platform import configuration
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
from ..state.table_mirror import StoredRow

# The table in which the daemons publish their records.
HOSTS_TABLE = "hosts"
# Parts of the time within which a configuration must be in force. One call waits for
# changes this long, so an answer that is lost on its way is noticed soon enough; older
# knowledge of a relay is not relied on.
CONFIG_WAIT_SHARE = 0.5
CONFIG_AGE_SHARE = 0.75
# Targets tell by themselves that they leave; the table brings new ones.
HOSTS_WAIT_SECONDS = 3.0
HOSTS_AGE_SECONDS = 4.0


class StoreView:
    """Follows both tables and keeps ``fleet`` and the configuration up to date.

    ``own_row`` gets the rows of this VM, ``former_record`` the record that a former
    life of this daemon has published, ``unreachable`` the VMs that took no
    connection.
    """

    def __init__(
        self,
        *,
        host: str,
        config_apply: float,
        tables: SharedTables,
        pool: Exchanger,
        fleet: Fleet,
        crashes: CrashHistory,
        own_row: Callable[[StoredRow], None],
        former_record: Callable[[HostRecord], None],
        unreachable: Callable[[Address], None],
        events: EventLog,
        random: Random,
    ) -> None:
        self._host = host
        self._tables = tables
        self._pool = pool
        self._fleet = fleet
        self._crashes = crashes
        self._own_row = own_row
        self._former_record = former_record
        self._unreachable = unreachable
        self._events = events
        self._random = random
        self.config: MeshConfig | None = None
        hosts = self._follower(
            HOSTS_TABLE,
            FollowTimes(wait=HOSTS_WAIT_SECONDS, max_age=HOSTS_AGE_SECONDS),
            self._host_row_changed,
        )
        config = self._follower(
            configuration.TABLE,
            FollowTimes(
                wait=CONFIG_WAIT_SHARE * config_apply,
                max_age=CONFIG_AGE_SHARE * config_apply,
            ),
            self._config_row_changed,
            starts_after=hosts.first_copy_read,
        )
        self._hosts_known = hosts.first_copy_read
        self._follower_by_table = {HOSTS_TABLE: hosts, configuration.TABLE: config}

    @property
    def complete(self) -> bool:
        """Whether the configuration and the other VMs are known."""
        return self.config is not None and self._hosts_known.is_set()

    def age_by_table(self) -> dict[str, float]:
        """Return the seconds since the store confirmed each table."""
        return {name: each.age for name, each in self._follower_by_table.items()}

    async def run(self) -> None:
        """Follow the tables until cancelled."""
        async with asyncio.TaskGroup() as group:
            for follower in self._follower_by_table.values():
                group.create_task(follower.run())

    async def serve(self, query: table_sync.SyncQuery) -> HttpResponse:
        """Answer another daemon that follows a table here."""
        follower = self._follower_by_table.get(query.table)
        if follower is None:
            return HttpResponse(status=404)
        return table_sync.encode_reply(await follower.serve(query))

    def stop_serving(self) -> None:
        """Send the daemons that follow tables here elsewhere."""
        for follower in self._follower_by_table.values():
            follower.stop()

    def _follower(
        self,
        table: str,
        times: FollowTimes,
        changed: Callable[[StoredRow], None],
        starts_after: asyncio.Event | None = None,
    ) -> TableFollower:
        return TableFollower(
            tables=self._tables,
            table=table,
            pool=self._pool,
            times=times,
            peers=self._fleet.sync_sources,
            changed=changed,
            unreachable=self._unreachable,
            events=self._events,
            random=self._random,
            starts_after=starts_after,
        )

    def _config_row_changed(self, row: StoredRow) -> None:
        if row.key != configuration.KEY or row.deleted:
            return
        config = configuration.decode_configuration(row.value)
        if isinstance(config, ConfigRejected):
            self._events.write("config_rejected", faults=config.faults[:5])
            return
        known = self.config
        if known is not None and config.version <= known.version:
            if config.version < known.version:
                self._events.write(
                    "config_older", version=config.version, in_force=known.version
                )
            return
        self.config = config
        self._events.write(
            "config_taken", version=config.version, routes=len(config.routes)
        )

    def _host_row_changed(self, row: StoredRow) -> None:
        record = None if row.deleted else decode_record(row.key, row.value)
        for death in record.crashes if record is not None else ():
            self._crashes.record(death)
        if row.key == self._host:
            self._own_row(row)
            if record is not None and row.key not in self._fleet.view_by_host:
                self._former_record(record)
            return
        if record is None:
            self._fleet.remove(row.key)
            if not row.deleted:
                self._events.write("record_malformed", host=row.key)
            return
        self._fleet.update(record, row.version)
        self._events.write(
            "host_learnt",
            host=row.key,
            service=record.service,
            target=record.target,
            state=record.state.value,
        )
