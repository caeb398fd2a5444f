"""Entries of other writers with any content, as a whole and field by field.

Each test guards against an entry that raises in its decoder, or in the code that uses
the decoded value. Such an entry ended the tasks that follow the store.
"""

import asyncio
import json
import math
import socket
import zlib
from collections.abc import Iterator
from random import Random
from typing import Any

import cbor2
import pytest
from hypothesis import HealthCheck, example, given, settings
from hypothesis import strategies as st

from cassiasail._internal.coordination.mesh.balancing import Fleet
from cassiasail._internal.coordination.mesh.registration import TargetHeartbeat
from cassiasail._internal.ids import DataCentre, Region, ServiceName, TargetId
from cassiasail._internal.protocol import peer_calls, table_sync
from cassiasail._internal.protocol.exchanges import (
    Address,
    ExchangeFailed,
    ResponseMatch,
)
from cassiasail._internal.protocol.http1 import HttpRequest, HttpResponse
from cassiasail._internal.protocol.table_sync import SyncReply
from cassiasail._internal.state.addresses import parse_address
from cassiasail._internal.state.calls import HostLoad, HostOutcome, HostReply
from cassiasail._internal.state.hosts import (
    HostRecord,
    RecordRefused,
    TargetCrash,
    TargetState,
    decode_record,
    encode_record,
)
from cassiasail._internal.state.mesh_config import ConfigRejected, MeshConfig
from cassiasail._internal.state.table_mirror import StoreVersion, TableDelta
from cassiasail.platform import configuration as platform_configuration
from cassiasail.platform import heartbeats
from cassiasail.platform.requests import TARGET_CODEC
from cassiasail.platform.table_store import TableStore
from devtools.platform_stand_in import configuration, route
from tests.unit.mesh.test_hosting import UNSAFE

HUGE = 10**400
NESTING = 20_000
RECORD = HostRecord(
    host="vm-1",
    address=Address("10.0.0.1", 80),
    data_centre=DataCentre("dc"),
    region=Region("r"),
    service=ServiceName("one"),
    target=TargetId("i-1"),
    start_time_ms=1,
    slots=4,
    state=TargetState.READY,
    link_mbps=100,
    crashes=(
        TargetCrash(target=TargetId("i-0"), start_time_ms=1, fingerprints=(b"f" * 16,)),
    ),
)
VERSION = StoreVersion(era=1, number=5)

ODD_ADDRESSES = (
    "10.0.0.1:70000",
    "10.0.0.1:0",
    "10.0.0.1:-1",
    "10.0.0.1:99999999999999999999",
    "10.0.0.1",
    "999.0.0.1:80",
    "²5.0.0.1:80",
    "10.0.0.1:²",
    "0.0.0.0:80",
    "255.255.255.255:80",
    "224.0.0.1:80",
    "example:80",
    "",
)
odd_texts = st.one_of(
    st.text(max_size=20),
    st.sampled_from(("a\r\nb", "\0", "\ud800", "x" * 5000, *ODD_ADDRESSES)),
)
odd_numbers = st.one_of(
    st.integers(),
    st.floats(),
    st.sampled_from((HUGE, -HUGE, -1, 0, 70000, 2**63, 2**64, 1e308, -0.0)),
)
scalars = st.one_of(st.none(), st.booleans(), odd_numbers, odd_texts)
odd_values = st.recursive(
    scalars,
    lambda inner: st.one_of(
        st.lists(inner, max_size=4),
        st.dictionaries(st.text(max_size=5), inner, max_size=4),
    ),
    max_leaves=8,
)
# Values that JSON can express and Python's encoder can't, as text.
ODD_JSON = (
    "9" * 400,
    "-" + "9" * 400,
    "9" * 5000,
    "1e400",
    "NaN",
    "-Infinity",
    '"\\ud800"',
    '"a\\r\\nb"',
    "[" * NESTING + "]" * NESTING,
    '{"a":' * NESTING + "1" + "}" * NESTING,
)
odd_json = st.one_of(
    st.sampled_from(ODD_JSON),
    odd_values.filter(lambda value: not _is_too_long(value)).map(json.dumps),
)
common = settings(
    deadline=None, max_examples=300, suppress_health_check=[HealthCheck.too_slow]
)


def _is_too_long(value: Any) -> bool:
    try:
        json.dumps(value)
    except ValueError:
        return True
    return False


def paths(document: Any, path: tuple[Any, ...] = ()) -> Iterator[tuple[Any, ...]]:
    """Yield the path of each value in ``document``, that of the whole one first."""
    yield path
    if isinstance(document, dict):
        for key, value in document.items():
            yield from paths(value, (*path, key))
    elif isinstance(document, list):
        for index, value in enumerate(document):
            yield from paths(value, (*path, index))


def with_value(document: Any, path: tuple[Any, ...], value: Any) -> Any:
    """Return a copy of ``document`` with ``value`` at ``path``."""
    if not path:
        return value
    copy = dict(document) if isinstance(document, dict) else list(document)
    copy[path[0]] = with_value(copy[path[0]], path[1:], value)
    return copy


def without_value(document: Any, path: tuple[Any, ...]) -> Any:
    """Return a copy of ``document`` without the field at ``path``."""
    copy = dict(document) if isinstance(document, dict) else list(document)
    if len(path) == 1:
        del copy[path[0]]
    else:
        copy[path[0]] = without_value(copy[path[0]], path[1:])
    return copy


def odd_documents(document: Any) -> st.SearchStrategy[bytes]:
    """Return JSON documents that differ from ``document`` in one place."""

    def with_odd(path: tuple[Any, ...], text: str) -> bytes:
        marked = json.dumps(with_value(document, path, "@odd@"))
        return marked.replace('"@odd@"', text).encode()

    every_path = list(paths(document))
    return st.one_of(
        st.builds(with_odd, st.sampled_from(every_path), odd_json),
        st.sampled_from(every_path[1:]).map(
            lambda path: json.dumps(without_value(document, path)).encode()
        ),
        st.binary(max_size=50),
    )


def use_record(record: HostRecord) -> None:
    """Use a record as a daemon does."""

    async def main() -> None:
        fleet = Fleet(
            data_centre=DataCentre("dc"),
            region=Region("r"),
            own_host="vm-9",
            own_address=Address("10.0.0.9", 80),
            own_link_mbps=100,
            random=Random(1),
        )
        fleet.update(RECORD, VERSION)
        fleet.update(record, VERSION._replace(number=6))
        fleet.sync_sources().sources(with_store=True)
        for service in (RECORD.service, record.service):
            choice = fleet.choose(
                service,
                route="r",
                time_to_objective=1.0,
                remaining_time=2.0,
                request_kb=1.0,
                excluded=set(),
            )
            assert choice is None or math.isfinite(choice.cost)
        reply = HostReply(
            outcome=HostOutcome.REFUSED, leaving_target=record.incarnation
        )
        response = peer_calls.encode_reply(reply, attempt_id="a")
        assert peer_calls.decode_reply(response) == reply

    asyncio.run(main())
    assert decode_record(record.host, encode_record(record)) == record
    assert_usable(record.address)


def assert_usable(address: Address) -> None:
    socket.inet_aton(address.host)
    assert 0 < address.port < 65536


@common
@given(
    path=st.sampled_from(list(paths(cbor2.loads(encode_record(RECORD))))),
    value=st.one_of(odd_values, st.binary(max_size=20)),
)
@example(path=(0,), value="10.0.0.1:70000")
@example(path=(6,), value=HUGE)
@example(path=(8,), value=-HUGE)
def test_record_with_an_odd_field_names_a_usable_vm_or_none(
    path: tuple[Any, ...], value: Any
) -> None:
    """Guards against a record that ends the daemons which read it."""
    fields = with_value(cbor2.loads(encode_record(RECORD)), path, value)
    try:
        data = cbor2.dumps(fields)
    except (cbor2.CBOREncodeError, ValueError):
        return
    record = decode_record("vm-2", data)
    if isinstance(record, HostRecord):
        use_record(record)


@common
@given(data=st.binary(max_size=100), host=odd_texts)
@example(data=b"\x81" * NESTING + b"\x01", host="vm")
@example(data=encode_record(RECORD) + b"\x81" * NESTING, host="vm")
@example(data=encode_record(RECORD) + b"\x81\x1b" + b"\xff" * 8, host="vm")
def test_record_of_any_bytes_is_decoded_or_refused(data: bytes, host: str) -> None:
    """Guards against bytes that no daemon has written."""
    record = decode_record(host, data)
    assert isinstance(record, HostRecord | RecordRefused)
    refused = decode_record(host, encode_record(RECORD))
    if isinstance(refused, HostRecord):
        use_record(refused)


@common
@given(text=st.one_of(odd_texts, st.from_regex(r"[0-9]{1,3}(\.[0-9]{1,3}){3}:\d+")))
def test_address_is_usable_or_refused(text: str) -> None:
    """Guards against addresses for which a connection raises no OSError."""
    try:
        address = parse_address(text)
    except ValueError:
        return
    assert_usable(address)


@pytest.mark.parametrize("text", ODD_ADDRESSES)
def test_odd_address_is_refused(text: str) -> None:
    """Guards against a check that accepts what the socket library doesn't."""
    with pytest.raises(ValueError):
        parse_address(text)


@common
@given(rows=st.lists(odd_values, max_size=3), age=odd_values, number=odd_values)
@example(rows=[["k", b"v", HUGE, False]], age=HUGE, number=HUGE)
@example(rows=[["k", b"v", 4.5, 0]], age=math.nan, number=math.inf)
def test_copy_of_a_peer_keeps_its_other_rows(
    rows: list[Any], age: Any, number: Any
) -> None:
    """Guards against one row that makes all copies of a table useless."""
    good = ["good", b"value", 3, False]

    def reply(number: Any, age: Any) -> SyncReply | None:
        body = cbor2.dumps([number, True, age, [*rows, good]])
        response = HttpResponse(status=200, body=zlib.compress(body))
        return table_sync.decode_reply(response, default_era=1)

    try:
        decoded = reply(5, 10)
        odd = reply(number, age)
    except (cbor2.CBOREncodeError, ValueError):
        return
    assert decoded is not None
    assert "good" in [row.key for row in decoded.delta.rows]
    assert len(decoded.delta.rows) + len(decoded.delta.refused) == len(rows) + 1
    for each in (decoded, odd):
        if each is not None:
            again = table_sync.decode_reply(
                table_sync.encode_reply(each), default_era=1
            )
            assert again is not None and again.delta.rows == each.delta.rows


odd_header_texts = st.one_of(
    odd_numbers.map(lambda value: str(value) if abs(value) < 1e300 else "9" * 400),
    st.sampled_from(("nan", "inf", "-1", "1e400", "9" * 5000, "²", " 5", "+5", "1_0")),
    st.text(st.characters(min_codepoint=32, max_codepoint=255), max_size=20),
)


def odd_headers(
    headers: tuple[tuple[bytes, bytes], ...], names: tuple[bytes, ...]
) -> st.SearchStrategy[tuple[tuple[bytes, bytes], ...]]:
    """Return ``headers`` with one field of one header in ``names`` replaced."""
    fields = [
        (name, index)
        for name, value in headers
        if name in names
        for index in range(value.count(b",") + 1)
    ]

    def with_odd(
        place: tuple[bytes, int], text: str
    ) -> tuple[tuple[bytes, bytes], ...]:
        name, index = place

        def change(value: bytes) -> bytes:
            parts = value.split(b",")
            parts[index] = text.encode("latin-1", "replace")
            return b",".join(parts)

        return tuple(
            (each, change(value) if each == name else value) for each, value in headers
        )

    return st.builds(with_odd, st.sampled_from(fields), odd_header_texts)


FORWARDED = peer_calls.encode_request(UNSAFE)
REPLIED = peer_calls.encode_reply(
    HostReply(
        outcome=HostOutcome.ANSWERED,
        load=HostLoad(
            running=1,
            waiting=2,
            slots=3,
            service_seconds=0.1,
            failure_share=0.5,
            rate_limit=2.0,
        ),
        run_seconds=0.2,
        leaving_target=(TargetId("i-1"), 7),
    ),
    attempt_id="id-1",
)


@common
@given(
    headers=odd_headers(
        (
            *FORWARDED.headers,
            (peer_calls.RESENT_HEADER, b"5"),
            (peer_calls.FIRST_SENT_TO_HEADER, b"s"),
            (peer_calls.NUMBER_HEADER, b"e,1"),
            (peer_calls.LIMIT_HEADER, b"1.0"),
        ),
        (
            peer_calls.CALL_HEADER,
            peer_calls.RESENT_HEADER,
            peer_calls.FIRST_SENT_TO_HEADER,
            peer_calls.NUMBER_HEADER,
            peer_calls.LIMIT_HEADER,
        ),
    )
)
def test_forwarded_request_with_an_odd_field_is_usable_or_refused(
    headers: tuple[tuple[bytes, bytes], ...],
) -> None:
    """Guards against numbers that raise, or never end a wait, at the host daemon."""
    request = HttpRequest(method=b"POST", target=b"/x", headers=headers)
    hosted = peer_calls.decode_request(request)
    if hosted is None:
        return
    times = (hosted.remaining_time, hosted.max_wait, hosted.resent_after or 0.0)
    assert all(0 <= each < 1e9 for each in times)
    assert hosted.known_limit is None or 0 <= hosted.known_limit <= 1e9
    encoded = peer_calls.encode_request(hosted)
    assert peer_calls.decode_request(encoded) is not None
    TARGET_CODEC.encode(hosted.request, TargetId("i-1"), hosted.remaining_time)


@common
@given(
    headers=odd_headers(
        REPLIED.headers,
        (peer_calls.REPLY_HEADER, peer_calls.LIMIT_HEADER, peer_calls.LEAVING_HEADER),
    ),
    status=st.integers(100, 599),
)
def test_reply_of_a_peer_with_an_odd_field_is_usable_or_refused(
    headers: tuple[tuple[bytes, bytes], ...], status: int
) -> None:
    """Guards against load reports with which no VM can be chosen any more."""
    reply = peer_calls.decode_reply(HttpResponse(status=status, headers=headers))
    if reply is None or reply.load is None:
        return
    assert math.isfinite(reply.load.queue_seconds)
    assert 0 <= reply.load.failure_share <= 1
    peer_calls.encode_reply(reply, attempt_id="a")


@common
@given(limit=odd_header_texts)
@example(limit="1e12")
@example(limit="nan")
def test_reply_with_an_odd_limit_of_a_target_can_be_read(limit: str) -> None:
    """Guards against a target whose limit makes all replies of its daemon useless."""
    headers = ((b"server-limit", limit.encode("latin-1", "replace")),)
    decoded = TARGET_CODEC.decode(HttpResponse(status=200, headers=headers))
    load = HostLoad(
        running=0,
        waiting=0,
        slots=1,
        service_seconds=0.0,
        failure_share=0.0,
        rate_limit=decoded.rate_limit,
    )
    reply = HostReply(outcome=HostOutcome.REFUSED, load=load)
    encoded = peer_calls.encode_reply(reply, attempt_id="a")
    assert peer_calls.decode_reply(encoded) == reply


class PageStore:
    """A pool that returns ``body`` as the only page of each table."""

    def __init__(self, body: bytes, era: bytes = b"1") -> None:
        self.response = HttpResponse(
            status=200, headers=((b"store-era", era),), body=body
        )

    async def exchange(
        self,
        address: Address,
        request: HttpRequest,
        *,
        timeout: float,
        match: ResponseMatch | None = None,
        grace: float = 0.0,
    ) -> HttpResponse | ExchangeFailed:
        return self.response


def read(body: bytes, era: bytes = b"1") -> Any:
    pool = PageStore(body, era)
    store = TableStore(address=Address("10.0.0.1", 80), pool=pool)  # type: ignore[arg-type]
    return asyncio.run(store.read("hosts"))


GOOD_ROW = {"table": "hosts", "part": "", "key": "good", "value": "YQ==", "ver": 3}
ODD_ROW = {"table": "hosts", "part": "", "key": "odd", "value": "YQ==", "ver": 4}
PAGE = {"rows": [ODD_ROW], "hasMore": False, "ver": 5, "nowMs": 1}


@common
@given(body=odd_documents(PAGE), era=odd_header_texts)
@example(body=("[" * NESTING).encode(), era="1")
@example(body=b"{}", era="9" * 5000)
def test_page_of_the_store_with_any_content_is_read_or_fails(
    body: bytes, era: str
) -> None:
    """Guards against a page of the store that ends the follower of a table."""
    read(body)
    read(json.dumps(PAGE).encode(), era.encode("latin-1", "replace"))


@common
@given(row=odd_documents(ODD_ROW).filter(lambda text: b"[[[[" not in text))
def test_odd_row_of_the_store_costs_no_other_row(row: bytes) -> None:
    """Guards against one row that makes a whole table unreadable."""
    try:
        json.loads(row)
    except (ValueError, RecursionError):
        # The store encodes its pages itself; such a page is not read at all.
        return
    page = json.dumps({**PAGE, "rows": [GOOD_ROW, "@odd@"]})
    table = read(page.replace('"@odd@"', row.decode()).encode())
    assert isinstance(table, TableDelta)
    assert "good" in [each.key for each in table.rows]
    assert len(table.rows) + len(table.refused) in (1, 2)


HEARTBEAT = {
    "address": "10.0.0.1:80",
    "born": 1,
    "details": {"service": "one", "version": "v1", "zone": "dc", "capacity": 4},
    "status": {"state": "ready", "sequence": 1, "coldLeftMs": 0},
}


@common
@given(body=odd_documents(HEARTBEAT), path=odd_header_texts)
@example(
    body=json.dumps(HEARTBEAT).replace('Ms": 0', f'Ms": {"9" * 400}').encode(), path="i"
)
@example(body=json.dumps(HEARTBEAT).encode(), path="a%0d%0aX: y")
def test_heartbeat_with_any_content_is_usable_or_refused(
    body: bytes, path: str
) -> None:
    """Guards against a heartbeat that raises, or that no record can be made of."""
    for method in (b"PUT", b"DELETE"):
        for name in ("i-1", path):
            message = heartbeats.decode_heartbeat(
                HttpRequest(
                    method=method,
                    target=b"/v1/instances/" + name.encode("latin-1", "replace"),
                    headers=(),
                    body=body,
                )
            )
            if not isinstance(message, TargetHeartbeat):
                continue
            assert_usable(message.address)
            assert 0 <= message.cold_seconds < 1e9
            assert b"\r" not in message.target.encode()
            record = HostRecord(
                host="vm-1",
                address=message.address,
                data_centre=RECORD.data_centre,
                region=RECORD.region,
                service=message.service,
                target=message.target,
                start_time_ms=message.start_time_ms,
                slots=message.slots,
                state=TargetState.READY,
                link_mbps=1,
            )
            use_record(record)


CONFIGURATION = json.loads(
    configuration(
        7,
        {
            "a": route("one", priority=1),
            "b": {**route("two"), "trafficSplit": [{"service": "one", "weight": 1.0}]},
        },
    )
)


@common
@given(body=odd_documents(CONFIGURATION))
@example(
    body=json.dumps(CONFIGURATION).replace("2000", "9" * 400).encode(),
)
@example(body=json.dumps(CONFIGURATION).replace("00000007", "f" * 300).encode())
@example(body=json.dumps(CONFIGURATION).replace("/healthz", "/a b\\r\\n").encode())
def test_configuration_with_any_content_is_usable_or_rejected(body: bytes) -> None:
    """Guards against a configuration that is applied and then raises for a request."""
    config = platform_configuration.decode_configuration(body)
    assert isinstance(config, MeshConfig | ConfigRejected)
    if isinstance(config, ConfigRejected):
        return
    float(config.version)
    for each in config.routes:
        assert 0 < each.timeout < 1e9 and 0 < each.latency_objective < 1e9
        each.name.encode()
    for service in config.service_by_name.values():
        assert service.health_path.isascii() and " " not in service.health_path
    assert all(
        0 <= each < 1e15
        for each in (
            config.limits.header_bytes,
            config.limits.body_bytes,
            config.limits.header_seconds,
            config.limits.idle_seconds,
        )
    )
