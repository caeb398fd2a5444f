"""Who owns which quota shard, as far as one daemon knows, and who should."""

from collections.abc import Iterable

import xxhash

from ..ids import DaemonId
from ..protocol.quotas import OwnerRow
from ..state.quotas import ShardId

ROW_PREFIX = "quota/"


def row_key(shard: ShardId) -> str:
    """Return the key of a shard's row."""
    return f"{ROW_PREFIX}{shard.data_centre}/{shard.number}"


def rank(shard: ShardId, members: Iterable[DaemonId]) -> list[DaemonId]:
    """Return members by rendezvous rank for a shard, highest first."""
    prefix = f"{shard.data_centre}/{shard.number}/"

    def weight(member: DaemonId) -> tuple[int, str]:
        return xxhash.xxh3_64_intdigest((prefix + member).encode()), member

    return sorted(members, key=weight, reverse=True)


class OwnerDirectory:
    """The owners of shards as far as known; the highest revision of a row wins."""

    def __init__(self) -> None:
        self.row_by_shard: dict[ShardId, OwnerRow] = {}
        # Sum of the revisions known; a higher one means newer knowledge.
        self.digest = 0

    def learn(self, rows: Iterable[OwnerRow]) -> None:
        """Take rows from a peer or from the store, unless newer ones are known."""
        for row in rows:
            known = self.row_by_shard.get(row.shard)
            if known is None or row.revision > known.revision:
                self.row_by_shard[row.shard] = row
                self.digest += row.revision - (known.revision if known else 0)

    def owner_of(self, shard: ShardId) -> DaemonId | None:
        """Return the daemon believed to own a shard."""
        row = self.row_by_shard.get(shard)
        return row.owner if row and row.owner else None

    def rows(self) -> tuple[OwnerRow, ...]:
        """Return all known rows, to pass on to a peer."""
        return tuple(self.row_by_shard.values())
