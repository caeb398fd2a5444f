"""Member records on the wire: CBOR lists, extended only at their end.

Items beyond the known ones come from newer software and are ignored.
"""

import sys
from typing import Any

from ...exceptions import ProtocolError
from ..ids import DaemonId, DataCentre, Region, ServiceName, TargetId
from ..state import cborcodec
from ..state.members import Endpoint, EndpointState, MemberRecord, MemberState

_MEMBER_STATES = (MemberState.ALIVE, MemberState.LEAVING, MemberState.DEAD)
_ENDPOINT_STATES = (
    EndpointState.STARTING,
    EndpointState.READY,
    EndpointState.DRAINING,
)
_CODE_BY_MEMBER_STATE = {state: code for code, state in enumerate(_MEMBER_STATES)}
_CODE_BY_ENDPOINT_STATE = {state: code for code, state in enumerate(_ENDPOINT_STATES)}
NAME_LIMIT = 255
ENDPOINT_LIMIT = 256


def pack_record(record: MemberRecord) -> list[Any]:
    """Return ``record`` as a list; an empty peer address stands for the id."""
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
                item.service,
                item.target_id,
                _CODE_BY_ENDPOINT_STATE[item.state],
                item.slots,
                item.start_time_ms,
            ]
            for item in record.endpoints
        ],
    ]


def unpack_record(value: Any) -> MemberRecord:
    """Parse a record; raise ``ProtocolError`` if it is malformed."""
    row = cborcodec.items(value, at_least=10, limit=64)
    daemon = DaemonId(_name(row[0]))
    endpoints = cborcodec.items(row[9], limit=ENDPOINT_LIMIT)
    return MemberRecord(
        id=daemon,
        incarnation=cborcodec.unsigned(row[1]),
        sequence=cborcodec.unsigned(row[2]),
        # Few regions, data centres and services are shared by all records.
        region=Region(sys.intern(_name(row[3]))),
        data_centre=DataCentre(sys.intern(_name(row[4]))),
        peer_addr=cborcodec.text(row[5], limit=NAME_LIMIT) or daemon,
        http_addr=cborcodec.text(row[6], limit=NAME_LIMIT),
        admin_addr=cborcodec.text(row[7], limit=NAME_LIMIT),
        state=_state(row[8], _MEMBER_STATES),
        endpoints=tuple(map(_unpack_endpoint, endpoints)),
    )


def _unpack_endpoint(value: Any) -> Endpoint:
    row = cborcodec.items(value, at_least=5, limit=64)
    return Endpoint(
        service=ServiceName(sys.intern(_name(row[0]))),
        target_id=TargetId(_name(row[1])),
        state=_state(row[2], _ENDPOINT_STATES),
        slots=cborcodec.unsigned(row[3]),
        start_time_ms=cborcodec.unsigned(row[4]),
    )


def _name(value: Any) -> str:
    name = cborcodec.text(value, limit=NAME_LIMIT)
    if not name:
        raise ProtocolError("a name is empty")
    return name


def _state(code: Any, states: tuple[Any, ...]) -> Any:
    number = cborcodec.unsigned(code)
    if number >= len(states):
        raise ProtocolError(f"unknown state {number}")
    return states[number]
