"""Work on the store: polling for new versions and the directory of contacts."""

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
# A row or object that could not be read is tried again this often; an object that
# the store does not show yet may appear.
_RETRY_REFUSED = 5.0  # seconds
# Versions looked at below a bad one.
_OLDER_VERSIONS = 8
# Another head may have rewritten the row; it is read again this often.
_DIRECTORY_REREAD = 60.0  # seconds

_MAX_SEARCH_BACKOFF = 4.0  # seconds
# Alone for this long, a daemon reads all rows and announces itself.
_ALONE = 2.0  # seconds


def directory_key(data_centre: DataCentre) -> str:
    """Return the row key of the contacts of a data centre."""
    return f"{DIRECTORY_PREFIX}{data_centre}"


class VersionPoller:
    """Reads ``config/head`` and offers what is newer to the distribution."""

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
        self._refused_head: object = None
        self._refused_at = -1e9

    async def poll_once(self) -> None:
        """Read the head row once; do nothing unless this daemon is a poller."""
        if not self._may_poll():
            return
        rows = await self._store.read([listcodec.HEAD_KEY])
        if isinstance(rows, StoreFailure):
            return
        row = rows.get(listcodec.HEAD_KEY)
        if row is None:
            return
        now = self._links.clock.now()
        known_bad = row.value == self._refused_head
        if known_bad and now - self._refused_at < _RETRY_REFUSED:
            return
        if not await self._try_head(row.value):
            self._refused_head, self._refused_at = row.value, now
            await self._try_older()

    async def _try_head(self, value: object) -> bool:
        """Bring the version of a row into force; return False if it is bad."""
        try:
            head = listcodec.decode_head(value)
        except ProtocolError as error:
            logging.error("row %s is malformed: %s", listcodec.HEAD_KEY, error)
            version = Version(self._distribution.versions.version + 1)
            self._distribution.refuse_unreadable(version, VersionRefusal.MALFORMED)
            return False
        held = self._distribution.versions
        if head.version < held.version:
            return True
        if head.version == held.version:
            if head.digest != held.lists.digest:
                self._distribution.refuse_unreadable(
                    head.version, VersionRefusal.DIGEST
                )
            return head.digest == held.lists.digest
        return await self._fetch(head)

    async def _try_older(self) -> None:
        """Bring the newest good version below a bad one into force.

        It was accepted, and may have been replaced before any poller saw it.
        """
        rows = await self._store.scan(
            listcodec.VERSION_PREFIX, limit=_OLDER_VERSIONS, descending=True
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
            if await self._fetch(head):
                return

    async def _fetch(self, head: listcodec.HeadRow) -> bool:
        """Read and offer one version; return False if it is bad."""
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
                # The snapshot has the same content.
                return False
        snapshot = await self._read_object(
            head, head.snapshot, listcodec.decode_snapshot
        )
        if isinstance(snapshot, StoreFailure):
            return True
        if isinstance(snapshot, VersionRefusal):
            self._distribution.refuse_unreadable(head.version, snapshot)
            return False
        # While the objects were read, a peer may have brought this version.
        if head.version <= self._distribution.versions.version:
            return True
        return isinstance(
            self._distribution.apply_and_forward(snapshot), AppliedVersion
        )

    async def _read_object(
        self, head: listcodec.HeadRow, name: str, decode: Callable[[bytes], _Item]
    ) -> _Item | VersionRefusal | StoreFailure:
        data = await self._store.get_object(name)
        if isinstance(data, StoreFailure):
            return data
        if data is None:
            return VersionRefusal.MISSING
        try:
            found = decode(data)
        except ProtocolError as error:
            logging.error("object %s is malformed: %s", name, error)
            return VersionRefusal.MALFORMED
        if (found.version, found.digest) != (head.version, head.digest):
            return VersionRefusal.DIGEST
        return found


class Directory:
    """Keeps the contacts of the own data centre; reads them to join."""

    def __init__(
        self, *, store: Store, links: Links, table: MemberTable, attachment: Attachment
    ) -> None:
        self._store = store
        self._links = links
        self._table = table
        self._attachment = attachment
        self._revision: int | None = None
        self._written: list[str] | None = None
        self._read_at = -1e9
        self._written_at = -1e9
        self._search_at = -1e9
        self._searches = 0

    async def maintain_once(self) -> None:
        """Read contacts while alone, or write them as head; otherwise nothing."""
        if not self._attachment.needs_contacts:
            self._searches = 0
            if self._attachment.is_head and len(self._table) > 1:
                await self._write_contacts()
            if self._attachment.is_root:
                await self._look_for_others()
            return
        now = self._links.clock.now()
        if now < self._search_at:
            return
        # A herd without seeds must not turn into a herd on the store.
        backoff = min(_MAX_SEARCH_BACKOFF, 0.5 * 2**self._searches)
        self._search_at = now + self._links.rng.uniform(0.5, 1.0) * backoff
        self._searches = min(self._searches + 1, 10)
        await self._find_contacts()
        if self._attachment.alone_seconds >= _ALONE:
            # Daemons whose seeds and contacts are all lost find each other here.
            await self._write_contacts()

    async def _look_for_others(self) -> None:
        """As root, read all contacts: daemons that joined elsewhere are unknown here.

        Without a living seed, two groups can form around two directory rows.
        """
        now = self._links.clock.now()
        if now < self._search_at:
            return
        self._search_at = now + self._links.rng.uniform(2.0, 4.0)
        found = await self._store.scan(DIRECTORY_PREFIX)
        if isinstance(found, StoreFailure):
            return
        self._attachment.set_contacts(
            [a for row in found.values() for a in _addresses(row.value)]
        )

    async def _find_contacts(self) -> None:
        key = directory_key(self._table.own_record.data_centre)
        rows = await self._store.read([key])
        if isinstance(rows, StoreFailure):
            return
        row = rows.get(key)
        contacts = _addresses(row.value) if row is not None else []
        others = set(contacts) - {self._table.own_record.peer_addr}
        if not others or self._attachment.alone_seconds >= _ALONE:
            found = await self._store.scan(DIRECTORY_PREFIX)
            if isinstance(found, StoreFailure):
                return
            contacts += [a for row in found.values() for a in _addresses(row.value)]
        self._attachment.set_contacts(contacts)

    async def _write_contacts(self) -> None:
        options, now = self._links.options, self._links.clock.now()
        if now - self._written_at < options.directory_interval:
            return
        key = directory_key(self._table.own_record.data_centre)
        if self._revision is None or now - self._read_at >= _DIRECTORY_REREAD:
            rows = await self._store.read([key])
            if isinstance(rows, StoreFailure):
                return
            row = rows.get(key)
            self._read_at = now
            self._revision = row.revision if row is not None else ABSENT
            self._written = _addresses(row.value) if row is not None else None
        contacts = self._contacts()
        if contacts == self._written:
            return
        self._written_at = now
        outcome = await self._store.transact(
            [Condition(key=key, revision=self._revision)],
            [Put(key=key, value={"contacts": contacts})],
        )
        if isinstance(outcome, StoreFailure | Conflict):
            # Read the row before the next attempt: the write may have happened.
            self._revision = None
            return
        self._revision, self._written = outcome.revision, contacts

    def _contacts(self) -> list[str]:
        own = self._table.own_record
        ids = [record.id for record in self._table.living(own.data_centre)]
        relays = [own.id, *self._attachment.relays]
        chosen = dict.fromkeys([*relays, *topology.sort_by_rank("relay", ids)])
        records = [self._table.get(daemon) for daemon in chosen]
        addresses = [record.peer_addr for record in records if record is not None]
        if len(addresses) == 1 and self._written:
            # Alone: the contacts of before may come back.
            addresses = list(dict.fromkeys([*addresses, *self._written]))
        return addresses[: self._links.options.directory_contacts]


def _addresses(value: object) -> list[str]:
    """Return the usable contacts of a row; a malformed row has none."""
    try:
        listed = cborcodec.mapping(value).get("contacts")
        return [cborcodec.text(item, limit=255) for item in cborcodec.items(listed)]
    except ProtocolError:
        metrics.STORE_REQUESTS.labels("directory", "malformed").inc()
        return []
