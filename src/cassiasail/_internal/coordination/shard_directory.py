"""Current owners of quota shards and the preferred order of owners for a shard."""

from collections.abc import Iterable

import xxhash

from ..ids import DaemonId
from ..protocol.quotas import OwnerRow
from ..state.quotas import ShardId

ROW_PREFIX = "quota/"


def row_key(shard: ShardId) -> str:
    """Return the store key of a shard's ownership row."""
    return f"{ROW_PREFIX}{shard.data_centre}/{shard.number}"


def rank_members(shard: ShardId, members: Iterable[DaemonId]) -> list[DaemonId]:
    """Return members by rendezvous hash for a shard, the preferred owner first."""
    prefix = f"{shard.data_centre}/{shard.number}/"

    def weight(member: DaemonId) -> tuple[int, str]:
        return xxhash.xxh3_64_intdigest((prefix + member).encode()), member

    return sorted(members, key=weight, reverse=True)


class OwnerDirectory:
    """The latest ownership row of each shard that this daemon has received."""

    def __init__(self) -> None:
        self.row_by_shard: dict[ShardId, OwnerRow] = {}
        # Sum of the revisions of all rows; a higher sum means newer rows.
        self.digest = 0

    def merge(self, rows: Iterable[OwnerRow]) -> None:
        """Merge rows from a peer or from the store; for each shard, keep the newest."""
        for row in rows:
            existing = self.row_by_shard.get(row.shard)
            if existing is None or row.revision > existing.revision:
                self.row_by_shard[row.shard] = row
                self.digest += row.revision - (existing.revision if existing else 0)

    def owner_of(self, shard: ShardId) -> DaemonId | None:
        """Return the owner of a shard by its latest row; None if it has none."""
        row = self.row_by_shard.get(shard)
        return row.owner if row and row.owner else None

    def rows(self) -> tuple[OwnerRow, ...]:
        """Return all rows, to send them to a peer."""
        return tuple(self.row_by_shard.values())
