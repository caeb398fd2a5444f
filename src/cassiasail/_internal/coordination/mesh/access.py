"""Who may send a request on a route, and how urgent the request is."""

from ...state.calls import ClientRequest
from ...state.client_accounts import ClientAccount, KeyFault
from ...state.mesh_config import MeshConfig, MeshRoute

# Ranks of routes within one rank of accounts, more than any configuration has.
ROUTE_RANKS = 1024


def account_of(
    config: MeshConfig, route: MeshRoute, request: ClientRequest
) -> ClientAccount | KeyFault | None:
    """Return the account of the request, None if it has none and needs none."""
    if config.accounts is None:
        return None
    account = config.accounts.find(request.account_key)
    if isinstance(account, KeyFault) and route.public:
        return None
    return account


def combined_priority(account: ClientAccount | None, route: MeshRoute) -> int:
    """Return one rank of a request; that of its account goes before the route's.

    A request without an account has the rank of the route alone. On routes without keys
    these are the requests of targets, which hold a slot until they are answered.
    """
    route_rank = min(route.priority, ROUTE_RANKS - 1)
    return (
        route_rank if account is None else account.priority * ROUTE_RANKS + route_rank
    )
