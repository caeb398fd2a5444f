"""Sends a request to the daemon beside a target and reads what became of it."""

from ...protocol import peer_calls
from ...protocol.exchanges import Address, ExchangeFailed, Exchanger, FailureReason
from ...state.calls import HostedRequest, HostOutcome, HostReason, HostReply

# The daemon beside the target ends requests itself; its answer needs time to arrive.
REPLY_MARGIN_SECONDS = 0.15
# Outcomes that say nothing about a second copy of an unsafe request: that daemon knows
# the request and joins the copy to it.
_LOST = frozenset(
    (FailureReason.RESET, FailureReason.CUT_SHORT, FailureReason.MALFORMED)
)


async def ask(pool: Exchanger, address: Address, hosted: HostedRequest) -> HostReply:
    """Return what the daemon at ``address`` did with ``hosted``.

    A connection that is lost is replaced once for an unsafe request, because the
    other daemon runs no client attempt twice.
    """
    reply = await _ask_once(pool, address, hosted)
    if hosted.safe or reply.reason is not HostReason.PEER_LOST:
        return reply
    again = await _ask_once(pool, address, hosted)
    # The first copy may have run; that the second did not leave changes nothing.
    return reply if again.reason is HostReason.PEER_UNREACHABLE else again


async def _ask_once(
    pool: Exchanger, address: Address, hosted: HostedRequest
) -> HostReply:
    result = await pool.exchange(
        address,
        peer_calls.encode_call(hosted),
        timeout=hosted.remaining_time + REPLY_MARGIN_SECONDS,
    )
    if isinstance(result, ExchangeFailed):
        return _failed(result)
    reply = peer_calls.decode_reply(result)
    if reply is None:
        return HostReply(outcome=HostOutcome.FAILED, reason=HostReason.PEER_MALFORMED)
    return reply


def _failed(result: ExchangeFailed) -> HostReply:
    if not result.sent:
        return HostReply(
            outcome=HostOutcome.REFUSED, reason=HostReason.PEER_UNREACHABLE
        )
    reason = HostReason.PEER_LOST if result.reason in _LOST else HostReason.TIMED_OUT
    return HostReply(outcome=HostOutcome.FAILED, reason=reason)
