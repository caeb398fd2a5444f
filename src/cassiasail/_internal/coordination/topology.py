"""The relay tree as pure functions of the membership.

Every daemon computes the tree from its own member table. Ranks are rendezvous hashes,
so the loss of a member moves only the children of that member. Each role has a separate
order: the next head is rarely one of the relays, whose children would have to move too.

The root is the head of the store's region. Below it are the heads of the regions, then
the heads of the data centres, then the relays of a data centre, then the leaves.
"""

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass
from functools import lru_cache
from typing import Protocol

import xxhash

from ..ids import DaemonId, DataCentre, Region

POLLER_COUNT = 2  # daemons that poll the store for the fleet


class TreeMember(Protocol):
    """The fields of a member on which the tree depends."""

    @property
    def id(self) -> DaemonId: ...

    @property
    def data_centre(self) -> DataCentre: ...

    @property
    def region(self) -> Region: ...


@dataclass(frozen=True, slots=True, kw_only=True)
class Tree:
    """Root, region heads and data centre heads of the relay tree, and the pollers."""

    root: DaemonId | None
    region_head_by_region: Mapping[Region, DaemonId]
    head_by_data_centre: Mapping[DataCentre, DaemonId]
    pollers: tuple[DaemonId, ...]


# Ranks of about 2,800 members in three roles; more would cost memory without more hits.
@lru_cache(maxsize=8192)
def rank(role: str, daemon: DaemonId) -> int:
    """Return the rendezvous hash of ``daemon`` for ``role``; the highest is chosen."""
    return xxhash.xxh64_intdigest(f"{role} {daemon}".encode())


def sort_by_rank(role: str, ids: Iterable[DaemonId]) -> list[DaemonId]:
    """Return ``ids`` by descending rank for ``role``, the preferred one first."""
    return sorted(ids, key=lambda daemon: rank(role, daemon), reverse=True)


def build_tree(members: Iterable[TreeMember], *, store_region: Region) -> Tree:
    """Return root, heads and pollers for the given living members.

    Without a member in ``store_region``, the highest-ranked region head is the root and
    the pollers are chosen from all members.
    """
    head_by_data_centre: dict[DataCentre, TreeMember] = {}
    ids_in_store_region: list[DaemonId] = []
    all_ids: list[DaemonId] = []
    for member in members:
        all_ids.append(member.id)
        if member.region == store_region:
            ids_in_store_region.append(member.id)
        current = head_by_data_centre.get(member.data_centre)
        if current is None or rank("head", member.id) > rank("head", current.id):
            head_by_data_centre[member.data_centre] = member
    head_by_region: dict[Region, DaemonId] = {}
    for member in head_by_data_centre.values():
        current_head = head_by_region.get(member.region)
        if current_head is None or rank("head", member.id) > rank("head", current_head):
            head_by_region[member.region] = member.id
    root = head_by_region.get(store_region)
    if root is None and head_by_region:
        root = sort_by_rank("head", head_by_region.values())[0]
    return Tree(
        root=root,
        region_head_by_region=head_by_region,
        head_by_data_centre={
            data_centre: member.id
            for data_centre, member in head_by_data_centre.items()
        },
        pollers=tuple(
            sort_by_rank("poller", ids_in_store_region or all_ids)[:POLLER_COUNT]
        ),
    )


def choose_relays(
    ids: Collection[DaemonId], *, head: DaemonId | None, fan_out: int
) -> tuple[DaemonId, ...]:
    """Return the relays of a data centre with the members ``ids``.

    With at most ``fan_out / 2`` members there are no relays: all are children of the
    head. With more, the head has only relays and other heads as children, because
    leaves and heads together would exceed the fan-out.
    """
    if len(ids) <= fan_out // 2:
        return ()
    count = -(-len(ids) // fan_out)
    return tuple(
        sort_by_rank("relay", (daemon for daemon in ids if daemon != head))[:count]
    )


def leaf_parents(leaf: DaemonId, relays: Iterable[DaemonId]) -> list[DaemonId]:
    """Return ``relays`` in the order in which ``leaf`` prefers them."""
    return sort_by_rank(leaf, relays)


def parent_candidates(
    member: TreeMember, tree: Tree, relays: Collection[DaemonId]
) -> list[DaemonId]:
    """Return the possible parents of ``member``, best first; none for the root."""
    if member.id == tree.root:
        return []
    head = tree.head_by_data_centre.get(member.data_centre)
    region_head = tree.region_head_by_region.get(member.region)
    if member.id == region_head:
        return [tree.root] if tree.root else []
    if member.id == head:
        return [region_head] if region_head else []
    if member.id in relays or not relays:
        return [head] if head else []
    return leaf_parents(member.id, relays)
