"""Encoding of member records as CBOR lists.

New versions of the software only append items; a reader ignores items beyond those that
it has defined.
"""

import sys
from typing import Any

from ...exceptions import ProtocolError
from ..ids import DaemonId, DataCentre, Region, ServiceName, TargetId
from ..state import cborcodec
from ..state.members import Endpoint, EndpointState, MemberRecord, MemberState

# The position of a state in these tuples is its code on the wire.
_MEMBER_STATES = (MemberState.ALIVE, MemberState.LEAVING, MemberState.DEAD)
_ENDPOINT_STATES = (
    EndpointState.STARTING,
    EndpointState.READY,
    EndpointState.DRAINING,
)
_CODE_BY_MEMBER_STATE = {state: code for code, state in enumerate(_MEMBER_STATES)}
_CODE_BY_ENDPOINT_STATE = {state: code for code, state in enumerate(_ENDPOINT_STATES)}
MAX_NAME_CHARS = 255
MAX_ENDPOINTS = 256


def pack_record(record: MemberRecord) -> list[Any]:
    """Return ``record`` as a list.

    A peer address equal to the daemon id is encoded as an empty string.
    """
    return [
        record.id,
        record.incarnation,
        record.sequence,
        record.region,
        record.data_centre,
        "" if record.peer_addr == record.id else record.peer_addr,
        record.http_addr,
        record.admin_addr,
        _CODE_BY_MEMBER_STATE[record.state],
        [
            [
                endpoint.service,
                endpoint.target_id,
                _CODE_BY_ENDPOINT_STATE[endpoint.state],
                endpoint.slots,
                endpoint.start_time_ms,
            ]
            for endpoint in record.endpoints
        ],
    ]


def unpack_record(value: Any) -> MemberRecord:
    """Return the record in ``value``; raise ``ProtocolError`` if it is malformed."""
    items = cborcodec.items(value, at_least=10, limit=64)
    daemon = DaemonId(_parse_name(items[0]))
    endpoints = cborcodec.items(items[9], limit=MAX_ENDPOINTS)
    return MemberRecord(
        id=daemon,
        incarnation=cborcodec.unsigned(items[1]),
        sequence=cborcodec.unsigned(items[2]),
        # Interned, because all records share a few regions, data centres and services.
        region=Region(sys.intern(_parse_name(items[3]))),
        data_centre=DataCentre(sys.intern(_parse_name(items[4]))),
        peer_addr=cborcodec.text(items[5], limit=MAX_NAME_CHARS) or daemon,
        http_addr=cborcodec.text(items[6], limit=MAX_NAME_CHARS),
        admin_addr=cborcodec.text(items[7], limit=MAX_NAME_CHARS),
        state=_parse_state(items[8], _MEMBER_STATES),
        endpoints=tuple(map(_unpack_endpoint, endpoints)),
    )


def _unpack_endpoint(value: Any) -> Endpoint:
    items = cborcodec.items(value, at_least=5, limit=64)
    return Endpoint(
        service=ServiceName(sys.intern(_parse_name(items[0]))),
        target_id=TargetId(_parse_name(items[1])),
        state=_parse_state(items[2], _ENDPOINT_STATES),
        slots=cborcodec.unsigned(items[3]),
        start_time_ms=cborcodec.unsigned(items[4]),
    )


def _parse_name(value: Any) -> str:
    name = cborcodec.text(value, limit=MAX_NAME_CHARS)
    if not name:
        raise ProtocolError("expected a name, got an empty string")
    return name


def _parse_state(code: Any, states: tuple[Any, ...]) -> Any:
    index = cborcodec.unsigned(code)
    if index >= len(states):
        raise ProtocolError(f"unknown state code {index}")
    return states[index]
