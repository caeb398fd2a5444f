"""Choice of the daemon that keeps the quota of an account.

All daemons make the same choice from the records of the VMs, without messages: by the
highest hash of account and VM, among the VMs with the fastest links. Few accounts move
when a VM comes or goes.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from hashlib import blake2b

from ....ids import AccountName
from ....state.hosts import HostId, HostRecord, TargetState
from ..balancing import HostView

# One owner for this many VMs: few enough that a daemon asks for several accounts in
# one call, and enough that the calls take each a small part of a processor.
VMS_PER_OWNER = 8
_HASH_BYTES = 8


@dataclass(frozen=True, slots=True, kw_only=True)
class Owners:
    """The VMs whose daemons keep quotas.

    ``reachable_share`` is the share of the VMs with a ready target that this daemon has
    not found unreachable. ``of(account)`` returns the owner of an account.
    """

    hosts: tuple[HostId, ...]
    reachable_share: float
    _host_by_account: dict[AccountName, HostId] = field(
        default_factory=dict, repr=False, compare=False
    )

    def of(self, account: AccountName) -> HostId | None:
        """Return the VM whose daemon keeps the quota of ``account``, None if none."""
        if not self.hosts:
            return None
        host = self._host_by_account.get(account)
        if host is None:
            host = max(self.hosts, key=lambda each: _weight(account, each))
            self._host_by_account[account] = host
        return host


def choose_owners(views: Iterable[HostView]) -> Owners:
    """Return the owners among the VMs with a ready target that are reachable."""
    ready = [view for view in views if view.record.state is TargetState.READY]
    reachable = [view.record for view in ready if not view.suspected]
    count = -(-len(reachable) // VMS_PER_OWNER)
    fastest: Sequence[HostRecord] = sorted(
        reachable, key=lambda record: (-record.link_mbps, record.host)
    )
    return Owners(
        hosts=tuple(record.host for record in fastest[:count]),
        reachable_share=len(reachable) / len(ready) if ready else 1.0,
    )


def _weight(account: AccountName, host: HostId) -> bytes:
    return blake2b(f"{account}\0{host}".encode(), digest_size=_HASH_BYTES).digest()
