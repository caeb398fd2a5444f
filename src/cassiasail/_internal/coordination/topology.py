"""The relay tree as pure functions of the membership.

Every daemon computes the tree from its own table. Ranks are rendezvous hashes: the
loss of a member moves only its own children. Each role has its own order, so the
daemon that follows a lost head is rarely one of the relays, whose children would
have to move as well.
"""

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass
from functools import lru_cache
from typing import Protocol

import xxhash

from ..ids import DaemonId, DataCentre, Region

POLLERS = 2


class Place(Protocol):
    """A member as far as the tree is concerned."""

    @property
    def id(self) -> DaemonId: ...

    @property
    def data_centre(self) -> DataCentre: ...

    @property
    def region(self) -> Region: ...


@dataclass(frozen=True, slots=True, kw_only=True)
class Tree:
    """The upper part of the relay tree: heads, root and pollers."""

    root: DaemonId | None
    region_head_by_region: Mapping[Region, DaemonId]
    head_by_data_centre: Mapping[DataCentre, DaemonId]
    pollers: tuple[DaemonId, ...]


# Three roles of 2,800 members; larger would cost memory without further hits.
@lru_cache(maxsize=8192)
def rank(role: str, daemon: DaemonId) -> int:
    """Return the rendezvous rank of ``daemon`` for ``role``; the highest wins."""
    return xxhash.xxh64_intdigest(f"{role} {daemon}".encode())


def ordered(role: str, ids: Iterable[DaemonId]) -> list[DaemonId]:
    """Return ``ids`` by falling rank, the first being chosen for ``role``."""
    return sorted(ids, key=lambda daemon: rank(role, daemon), reverse=True)


def build_tree(places: Iterable[Place], *, store_region: Region) -> Tree:
    """Return heads, root and pollers for the given living members."""
    head_by_centre: dict[DataCentre, Place] = {}
    in_store_region: list[DaemonId] = []
    everyone: list[DaemonId] = []
    for place in places:
        everyone.append(place.id)
        if place.region == store_region:
            in_store_region.append(place.id)
        held = head_by_centre.get(place.data_centre)
        if held is None or rank("head", place.id) > rank("head", held.id):
            head_by_centre[place.data_centre] = place
    head_by_region: dict[Region, DaemonId] = {}
    for place in head_by_centre.values():
        other = head_by_region.get(place.region)
        if other is None or rank("head", place.id) > rank("head", other):
            head_by_region[place.region] = place.id
    root = head_by_region.get(store_region)
    if root is None and head_by_region:
        root = ordered("head", head_by_region.values())[0]
    return Tree(
        root=root,
        region_head_by_region=head_by_region,
        head_by_data_centre={
            centre: place.id for centre, place in head_by_centre.items()
        },
        pollers=tuple(ordered("poller", in_store_region or everyone)[:POLLERS]),
    )


def relays_of(
    ids: Collection[DaemonId], *, head: DaemonId | None, fan_out: int
) -> tuple[DaemonId, ...]:
    """Return the relays of a data centre with the members ``ids``.

    Up to half a fan-out of members the head serves all of them itself. Above, it
    serves only relays and other heads, because leaves and heads together would
    exceed the fan-out.
    """
    if len(ids) <= fan_out // 2:
        return ()
    count = -(-len(ids) // fan_out)
    return tuple(ordered("relay", (daemon for daemon in ids if daemon != head))[:count])


def leaf_parents(leaf: DaemonId, relays: Iterable[DaemonId]) -> list[DaemonId]:
    """Return ``relays`` in the order in which ``leaf`` prefers them."""
    return ordered(leaf, relays)


def parents_of(
    place: Place, tree: Tree, relays: Collection[DaemonId]
) -> list[DaemonId]:
    """Return the acceptable parents of ``place``, best first; none for the root."""
    if place.id == tree.root:
        return []
    head = tree.head_by_data_centre.get(place.data_centre)
    region_head = tree.region_head_by_region.get(place.region)
    if place.id == region_head:
        return [tree.root] if tree.root else []
    if place.id == head:
        return [region_head] if region_head else []
    if place.id in relays or not relays:
        return [head] if head else []
    return leaf_parents(place.id, relays)
