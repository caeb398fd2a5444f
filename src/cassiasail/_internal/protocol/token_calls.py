"""Encoding of the calls by which daemons ask each other for tokens of accounts.

The request is an HTTP POST with a CBOR list of asks, the response has the grants in the
same order. The header ``cs-tokens`` tells these calls from others.
"""

from collections.abc import Sequence

import cbor2

from ...exceptions import ProtocolError
from ..ids import AccountName
from ..state import cborcodec, ranges
from ..state.quota_tokens import TokenAsk, TokenGrant
from .http1 import HttpRequest, HttpResponse

PATH = b"/tokens"
_HEADER = b"cs-tokens"
# Accounts in one call; a daemon with more asks again for the rest.
MAX_LINES = 1000
# Tokens of one line, far above the requests that one daemon can have waiting.
MAX_TOKENS = 1 << 20
# Limit of a body with that many lines.
MAX_BYTES = MAX_LINES * (ranges.MAX_NAME_BYTES + 32)


def encode_asks(asks: Sequence[TokenAsk]) -> HttpRequest:
    """Return the request that carries ``asks``."""
    return HttpRequest(
        method=b"POST",
        target=PATH,
        headers=((b"host", b"peer"), (_HEADER, b"1")),
        body=cbor2.dumps([list(ask) for ask in asks]),
    )


def is_token_call(request: HttpRequest) -> bool:
    """Return whether another daemon asks for tokens."""
    return request.header(_HEADER) is not None


def decode_asks(request: HttpRequest) -> list[TokenAsk] | None:
    """Return the asks in ``request``, None if they are malformed."""
    try:
        lines = cborcodec.items(
            cborcodec.decode_item(request.body, limit=MAX_BYTES), limit=MAX_LINES
        )
        return [_decode_ask(*_fields(line, 4)) for line in lines]
    except (ProtocolError, ValueError):
        return None


def encode_grants(grants: Sequence[TokenGrant]) -> HttpResponse:
    """Return the response that carries ``grants``."""
    body = cbor2.dumps(
        [[each.account, each.tokens, int(each.next_in * 1000)] for each in grants]
    )
    return HttpResponse(status=200, body=body)


def decode_grants(response: HttpResponse) -> list[TokenGrant] | None:
    """Return the grants in ``response``, None if it is malformed or an error."""
    if response.status != 200:
        return None
    try:
        lines = cborcodec.items(
            cborcodec.decode_item(response.body, limit=MAX_BYTES), limit=MAX_LINES
        )
        return [_decode_grant(*_fields(line, 3)) for line in lines]
    except (ProtocolError, ValueError):
        return None


def _fields(line: object, count: int) -> list[object]:
    return cborcodec.items(line, at_least=count, limit=count)


def _decode_ask(
    account: object, needed: object, ahead: object, given_back: object
) -> TokenAsk:
    return TokenAsk(
        account=AccountName(ranges.name(account)),
        needed=ranges.integer(needed, high=MAX_TOKENS),
        ahead=ranges.integer(ahead, high=MAX_TOKENS),
        given_back=ranges.integer(given_back, high=MAX_TOKENS),
    )


def _decode_grant(account: object, tokens: object, next_ms: object) -> TokenGrant:
    return TokenGrant(
        account=AccountName(ranges.name(account)),
        tokens=ranges.integer(tokens, high=MAX_TOKENS),
        next_in=ranges.integer(next_ms, high=ranges.MAX_DURATION_MS) / 1000,
    )
