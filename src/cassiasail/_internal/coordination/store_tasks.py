"""Periodic work on the store: polling for new versions, maintaining contact rows."""

from collections.abc import Callable
from typing import TypeVar

from absl import logging

from ...exceptions import ProtocolError
from .. import metrics
from ..ids import DataCentre, Version
from ..state import cborcodec, listcodec
from ..state.lists import Delta, Snapshot
from ..state.members import MemberTable
from ..state.versions import AppliedVersion, VersionRefusal
from . import topology
from .attachment import Attachment
from .distribution import VersionDistribution
from .links import Links
from .store import ABSENT, Condition, Conflict, Put, Store, StoreFailure

_Item = TypeVar("_Item", Delta, Snapshot)

DIRECTORY_PREFIX = "directory/"
# A head row whose version was refused is processed again after this time, because an
# object that was missing in the store may have become visible.
_REFUSED_HEAD_RETRY_SECONDS = 5.0
# Newest versions that are read to find a usable one below a refused version.
_MAX_OLDER_VERSIONS = 8
# The contact row is read again after this time, because another data-centre head may
# have rewritten it.
_DIRECTORY_REREAD_SECONDS = 60.0

_MAX_SEARCH_BACKOFF_SECONDS = 4.0
# A daemon whose member table has had no other daemon for this long reads the contacts
# of all data centres and adds its address to those of its data centre.
_ISOLATED_SECONDS = 2.0


def directory_key(data_centre: DataCentre) -> str:
    """Return the key of the row that holds the contacts of a data centre."""
    return f"{DIRECTORY_PREFIX}{data_centre}"


class VersionPoller:
    """Polls the row ``config/head`` and applies newer versions by ``distribution``."""

    def __init__(
        self,
        *,
        store: Store,
        links: Links,
        distribution: VersionDistribution,
        may_poll: Callable[[], bool],
    ) -> None:
        self._store = store
        self._links = links
        self._distribution = distribution
        self._may_poll = may_poll
        # Value of the last head row that was refused, and the time of the refusal.
        self._refused_head: object = None
        self._refused_at = -1e9

    async def poll_once(self) -> None:
        """Read the head row once and apply its version if that is newer.

        Does nothing unless ``may_poll`` returns true. If the version is refused, the
        newest usable version below it is applied.
        """
        if not self._may_poll():
            return
        rows = await self._store.read([listcodec.HEAD_KEY])
        if isinstance(rows, StoreFailure):
            return
        row = rows.get(listcodec.HEAD_KEY)
        if row is None:
            return
        now = self._links.clock.now()
        already_refused = row.value == self._refused_head
        if already_refused and now - self._refused_at < _REFUSED_HEAD_RETRY_SECONDS:
            return
        if not await self._apply_head(row.value):
            self._refused_head, self._refused_at = row.value, now
            await self._apply_older_version()

    async def _apply_head(self, value: object) -> bool:
        """Apply the version that a head row names; return False if it is refused.

        Returns True also if the version is not newer or the store failed.
        """
        try:
            head = listcodec.decode_head(value)
        except ProtocolError as error:
            logging.error("row %s is malformed: %s", listcodec.HEAD_KEY, error)
            version = Version(self._distribution.versions.version + 1)
            self._distribution.refuse_unreadable(version, VersionRefusal.MALFORMED)
            return False
        current = self._distribution.versions
        if head.version < current.version:
            return True
        if head.version == current.version:
            if head.digest != current.lists.digest:
                self._distribution.refuse_unreadable(
                    head.version, VersionRefusal.DIGEST
                )
            return head.digest == current.lists.digest
        return await self._read_and_apply(head)

    async def _apply_older_version(self) -> None:
        """Apply the newest usable version below a refused one.

        Such a version was committed, but a later commit may have replaced it before
        any daemon polled it.
        """
        rows = await self._store.scan(
            listcodec.VERSION_PREFIX, limit=_MAX_OLDER_VERSIONS, descending=True
        )
        if isinstance(rows, StoreFailure):
            return
        for key in sorted(rows, reverse=True):
            try:
                head = listcodec.decode_head(rows[key].value)
            except ProtocolError:
                continue
            if head.version <= self._distribution.versions.version:
                return
            if await self._read_and_apply(head):
                return

    async def _read_and_apply(self, head: listcodec.HeadRow) -> bool:
        """Read one version and apply it; return False if it is refused.

        The delta is applied if it can be read and is based on the current version. If
        not, or if it is refused for another reason than its content, the snapshot is
        applied. Returns True also if the store failed: the next poll reads the version
        again.
        """
        delta = await self._read_object(head, head.delta, listcodec.decode_delta)
        if isinstance(delta, StoreFailure):
            return True
        if (
            isinstance(delta, Delta)
            and delta.base == self._distribution.versions.version
        ):
            outcome = self._distribution.apply_and_forward(delta)
            if isinstance(outcome, AppliedVersion):
                return True
            if outcome.reason is VersionRefusal.CONTENT:
                # The snapshot has the same content and would be refused, too.
                return False
        snapshot = await self._read_object(
            head, head.snapshot, listcodec.decode_snapshot
        )
        if isinstance(snapshot, StoreFailure):
            return True
        if isinstance(snapshot, VersionRefusal):
            self._distribution.refuse_unreadable(head.version, snapshot)
            return False
        # A peer may have sent this version while the objects were read.
        if head.version <= self._distribution.versions.version:
            return True
        return isinstance(
            self._distribution.apply_and_forward(snapshot), AppliedVersion
        )

    async def _read_object(
        self, head: listcodec.HeadRow, name: str, decode: Callable[[bytes], _Item]
    ) -> _Item | VersionRefusal | StoreFailure:
        """Read and decode one object of a version and compare it with the head row."""
        data = await self._store.get_object(name)
        if isinstance(data, StoreFailure):
            return data
        if data is None:
            return VersionRefusal.MISSING
        try:
            item = decode(data)
        except ProtocolError as error:
            logging.error("object %s is malformed: %s", name, error)
            return VersionRefusal.MALFORMED
        if (item.version, item.digest) != (head.version, head.digest):
            return VersionRefusal.DIGEST
        return item


class ContactDirectory:
    """Maintains the rows ``directory/<data centre>``, which hold contact addresses.

    A daemon without other members in its table reads them to join the fleet; the head
    of a data centre writes the row of its data centre.
    """

    def __init__(
        self, *, store: Store, links: Links, table: MemberTable, attachment: Attachment
    ) -> None:
        self._store = store
        self._links = links
        self._table = table
        self._attachment = attachment
        # Revision of the contact row; None if it must be read before the next write.
        self._revision: int | None = None
        # Contacts in the row, as last read or written; None if there is no row.
        self._stored_contacts: list[str] | None = None
        self._last_read_at = -1e9
        self._last_written_at = -1e9
        self._next_search_at = -1e9
        self._search_count = 0

    async def maintain_once(self) -> None:
        """Do the work that is due for this daemon's position in the relay tree.

        A daemon that needs contacts reads them, with backoff. Otherwise the head of a
        data centre writes the contacts of its data centre, and the root of the tree
        searches for groups of daemons that are not in its member table.
        """
        if not self._attachment.needs_contacts:
            self._search_count = 0
            if self._attachment.is_head and len(self._table) > 1:
                await self._write_contacts()
            if self._attachment.is_root:
                await self._find_separate_groups()
            return
        now = self._links.clock.now()
        if now < self._next_search_at:
            return
        # Backoff with jitter, so that many daemons that lost their seeds at the same
        # time do not overload the store.
        backoff = min(_MAX_SEARCH_BACKOFF_SECONDS, 0.5 * 2**self._search_count)
        self._next_search_at = now + self._links.rng.uniform(0.5, 1.0) * backoff
        self._search_count = min(self._search_count + 1, 10)
        await self._read_contacts()
        if self._attachment.alone_seconds >= _ISOLATED_SECONDS:
            # Daemons whose seeds and contacts are all unreachable find each other
            # by this row.
            await self._write_contacts()

    async def _find_separate_groups(self) -> None:
        """As root, read the contacts of all data centres and use them as candidates.

        If no seed is alive, two separate groups can form around the rows of two data
        centres; neither has the members of the other in its table.
        """
        now = self._links.clock.now()
        if now < self._next_search_at:
            return
        self._next_search_at = now + self._links.rng.uniform(2.0, 4.0)
        found = await self._store.scan(DIRECTORY_PREFIX)
        if isinstance(found, StoreFailure):
            return
        self._attachment.set_contacts(
            [
                address
                for row in found.values()
                for address in _parse_contacts(row.value)
            ]
        )

    async def _read_contacts(self) -> None:
        """Read the contacts of this data centre, and if needed those of all others.

        All rows are read if the local one names no other daemon, or after
        ``_ISOLATED_SECONDS`` without other members.
        """
        key = directory_key(self._table.own_record.data_centre)
        rows = await self._store.read([key])
        if isinstance(rows, StoreFailure):
            return
        row = rows.get(key)
        contacts = _parse_contacts(row.value) if row is not None else []
        other_daemons = set(contacts) - {self._table.own_record.peer_addr}
        if not other_daemons or self._attachment.alone_seconds >= _ISOLATED_SECONDS:
            found = await self._store.scan(DIRECTORY_PREFIX)
            if isinstance(found, StoreFailure):
                return
            contacts += [
                address
                for row in found.values()
                for address in _parse_contacts(row.value)
            ]
        self._attachment.set_contacts(contacts)

    async def _write_contacts(self) -> None:
        """Write the contacts of this data centre if they changed.

        At most one write per ``directory_interval``.
        """
        options, now = self._links.options, self._links.clock.now()
        if now - self._last_written_at < options.directory_interval:
            return
        key = directory_key(self._table.own_record.data_centre)
        if (
            self._revision is None
            or now - self._last_read_at >= _DIRECTORY_REREAD_SECONDS
        ):
            rows = await self._store.read([key])
            if isinstance(rows, StoreFailure):
                return
            row = rows.get(key)
            self._last_read_at = now
            self._revision = row.revision if row is not None else ABSENT
            self._stored_contacts = (
                _parse_contacts(row.value) if row is not None else None
            )
        contacts = self._select_contacts()
        if contacts == self._stored_contacts:
            return
        self._last_written_at = now
        outcome = await self._store.transact(
            [Condition(key=key, revision=self._revision)],
            [Put(key=key, value={"contacts": contacts})],
        )
        if isinstance(outcome, StoreFailure | Conflict):
            # Read the row before the next attempt, because after a failure the write
            # may have taken effect and after a conflict another daemon wrote the row.
            self._revision = None
            return
        self._revision, self._stored_contacts = outcome.revision, contacts

    def _select_contacts(self) -> list[str]:
        """Return the addresses to store: this daemon, the relays, then other daemons.

        The others are the living daemons of this data centre in relay order.
        """
        own = self._table.own_record
        living_ids = [record.id for record in self._table.living(own.data_centre)]
        relays = [own.id, *self._attachment.relays]
        unique_ids = dict.fromkeys(
            [*relays, *topology.sort_by_rank("relay", living_ids)]
        )
        records = [self._table.get(daemon) for daemon in unique_ids]
        addresses = [record.peer_addr for record in records if record is not None]
        if len(addresses) == 1 and self._stored_contacts:
            # Only this daemon is known: keep the stored contacts, which may become
            # reachable again.
            addresses = list(dict.fromkeys([*addresses, *self._stored_contacts]))
        return addresses[: self._links.options.directory_contacts]


def _parse_contacts(value: object) -> list[str]:
    """Return the contact addresses in a row; none if the row is malformed."""
    try:
        listed = cborcodec.mapping(value).get("contacts")
        return [cborcodec.text(item, limit=255) for item in cborcodec.items(listed)]
    except ProtocolError:
        metrics.STORE_REQUESTS.labels("directory", "malformed").inc()
        return []
