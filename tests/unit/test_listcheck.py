"""Tests of list files: round trips, defaults, and the line and remedy of faults."""

from decimal import Decimal
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cassiasail._internal.state.listcheck import check_files
from cassiasail._internal.state.listfiles import (
    SourceFile,
    format_customers,
    format_plans,
)
from cassiasail._internal.state.lists import Lists, lists_from_rows
from cassiasail._internal.state.listunits import (
    BadValue,
    format_bytes,
    format_rate,
    format_seconds,
    parse_bytes,
    parse_call_count,
    parse_rate,
    parse_seconds,
)
from cassiasail._internal.state.routes import RouteTable, compile_routes
from tests.lib.listtexts import CUSTOMERS, PLANS

NAMES = st.text("abzAZ019._-", min_size=1, max_size=4)
PATHS = st.text("ab/.~%@=", max_size=4).map(lambda text: "/" + text)
SECONDS = st.decimals("0.001", "3600", places=5).map(float)
RATES = st.decimals(0, 10**9, places=6).map(float)
COUNTS = st.integers(0, 10**12)
CONTACTS = st.text(max_size=20).map(str.strip).filter(str.isprintable)


@st.composite
def valid_rows(draw: st.DrawFn) -> dict[str, dict[str, Any]]:
    rows: dict[str, dict[str, Any]] = {}
    routes = draw(st.sets(st.tuples(NAMES, PATHS), max_size=4))
    plans = draw(st.lists(NAMES, min_size=1, max_size=3, unique=True))
    for service, path in routes:
        rows[f"service/{service}"] = {}
        rows[f"route/{service} {path}"] = {
            "class": draw(st.sampled_from(["order", "lookup", "bulk"])),
            "deadline": draw(SECONDS),
            "idempotent": draw(st.sampled_from(["auto", "yes", "no"])),
            "idempotency_key": draw(st.sampled_from(["optional", "required"])),
        }
    for plan in plans:
        rows[f"plan/{plan}"] = {}
        for service, path in routes:
            rows[f"allowance/{plan} {service} {path}"] = {
                "rate": draw(RATES),
                "burst": draw(COUNTS),
                "in_flight": draw(COUNTS),
                "max_body": draw(COUNTS),
            }
    for customer in draw(st.sets(NAMES, max_size=3)):
        plan = draw(st.sampled_from(plans))
        rows[f"customer/{customer}"] = {"plan": plan, "contact": draw(CONTACTS)}
    return rows


def check_texts(plans: str, customers: str) -> Lists | list[str]:
    result = check_files(
        SourceFile(name="plans.ini", text=plans),
        SourceFile(name="customers.ini", text=customers),
    )
    return result if isinstance(result, Lists) else [str(fault) for fault in result]


@given(rows=valid_rows(), random=st.randoms(use_true_random=False))
def test_formatted_lists_parse_to_the_same_rows(
    rows: dict[str, Any], random: Any
) -> None:
    """Guards against exports that change a row or depend on the order of the rows."""
    plans = format_plans(rows, comments=["version 7"])
    customers = format_customers(rows)
    assert check_texts(plans, customers) == lists_from_rows(rows)
    shuffled = list(rows.items())
    random.shuffle(shuffled)
    assert format_plans(dict(shuffled), comments=["version 7"]) == plans
    assert format_customers(dict(shuffled)) == customers


@given(plans=st.text("[]=#;\n\r \tabplanroute/0.5s\x0b\ufeff"), customers=st.text())
def test_any_text_results_in_valid_lists_or_faults(plans: str, customers: str) -> None:
    """Guards against exceptions, and against lists that a daemon would refuse."""
    result = check_texts(plans, customers)
    if isinstance(result, Lists):
        assert isinstance(compile_routes(result, version=1), RouteTable)  # type: ignore[arg-type]
    else:
        assert result
        assert all(fault.split(":")[1].isdigit() for fault in result)


def test_absent_keys_get_documented_defaults() -> None:
    """Guards against defaults that differ from those in docs/lists.md."""
    lists = check_texts(PLANS, CUSTOMERS)
    assert isinstance(lists, Lists)
    assert lists.rows_by_key["route/tide-svc /"] == {
        "class": "bulk",
        "deadline": 5.0,
        "idempotent": "auto",
        "idempotency_key": "optional",
    }
    assert lists.rows_by_key["allowance/gold tide-svc /"]["max_body"] == 1 << 20
    without_class = check_texts(PLANS.replace("class = bulk\n", ""), CUSTOMERS)
    assert isinstance(without_class, Lists)
    assert without_class.rows_by_key["route/tide-svc /"]["class"] == "lookup"


FAULTS = [
    # text in PLANS, replacement, line of the fault, part of its problem and remedy
    ("[service tide-svc]", "# gone", 11, "unknown service 'tide-svc'", "[service tide"),
    ("[route tide-svc /]", "[route tide-svc /b]", 22, "unknown route '/'", "[route ti"),
    ("[plan gold]", "[plan silver]", 16, "plan 'gold' is not defined", "[plan gold]"),
    ("class = bulk", "class = fast", 12, "class is 'fast'", "order, lookup, bulk"),
    ("class = bulk", "deadline = 5", 12, "deadline has no unit", "250ms"),
    ("class = bulk", "deadline = 5h", 12, "unknown unit 'h'", "250ms"),
    ("class = bulk", "deadline = 2h30", 12, "deadline is '2h30'", "2s or 250ms"),
    ("class = bulk", "deadline = 0s", 12, "deadline is 0.0", "from 0.001 to 3600"),
    ("class = bulk", "color = red", 12, "unknown key 'color'", "use one of class"),
    ("class = bulk", "class", 12, "'class' is not 'key = value'", "write"),
    (
        "class = bulk",
        "class = bulk\nclass = order",
        13,
        "already set on line 12",
        "keep",
    ),
    ("idempotent = no", "idempotent = maybe", 6, "idempotent is 'maybe'", "auto, yes"),
    ("rate = 50", "rate = -50", 17, "rate is -50.0", "from 0 to 1e+09"),
    ("rate = 50\n", "", 16, "rate is absent", "set rate"),
    ("burst = 100\n", "", 16, "burst is absent", "set burst"),
    ("in_flight = 20\n", "", 16, "in_flight is absent", "set in_flight"),
    ("burst = 100", "burst = 1.5", 18, "burst is '1.5', not whole", "whole number"),
    ("rate = 50", "rate = 50/s", 17, "rate is '50/s'", "no unit"),
    ("64KiB", "64KB", 20, "unknown unit 'KB'", "64KiB"),
    (
        "[plan gold]",
        "[plan gold]\n[plan gold]",
        15,
        "first at plans.ini:14",
        "keep one",
    ),
    ("[plan gold]", "[plan gold]\n[plan go/ld]", 15, "bad name 'go/ld'", "letters"),
    ("[plan gold]", "[plan gold]\n[plan a b]", 15, "has 2 names", "[plan NAME]"),
    ("[plan gold]", "[plan gold]\n[color x]", 15, "unknown section", "service, route"),
    ("[plan gold]", "[plan gold]\n[]", 15, "unknown section", "service, route"),
    ("[plan gold]", "[plan gold", 14, "does not end with ']'", "close it"),
    (
        "[plan gold]",
        "[plan gold]\n[customer c]",
        15,
        "does not belong",
        "customers.ini",
    ),
    ("[route tide-svc /]", "[route tide-svc x]", 11, "not absolute", "start it with"),
    ("[route tide-svc /]", "[route tide-svc /?]", 11, "bad path '/?'", "URL path"),
    ("[service array-ctl]", "a = 1\n[service array-ctl]", 1, "before any", "below"),
    ("[plan gold]", "[plan gold]\n[plan " + "x" * 129 + "]", 15, "bad name", "128"),
]


@pytest.mark.parametrize(("old", "new", "line", "problem", "remedy"), FAULTS)
def test_fault_has_line_and_remedy(
    old: str, new: str, line: int, problem: str, remedy: str
) -> None:
    """Guards against faults that are missed or reported at the wrong line."""
    assert old in PLANS
    faults = check_texts(PLANS.replace(old, new, 1), CUSTOMERS)
    assert not isinstance(faults, Lists)
    located = [fault for fault in faults if fault.startswith(f"plans.ini:{line}: ")]
    assert any(problem in fault and remedy in fault for fault in located), faults


def test_customer_faults_have_line_and_remedy() -> None:
    """Guards against customer faults reported in the wrong file."""
    text = "[customer a]\ncontact = x\n[customer b]\nplan = none\n[customer b]\nplan=g"
    assert check_texts(
        PLANS, text + "\n[customer c]\nplan = no name\ncontact = a\x07"
    ) == [
        "customers.ini:1: plan is absent; add 'plan = NAME'",
        "customers.ini:4: [customer b] plan 'none' is not defined; define the plan "
        "or choose another one",
        "customers.ini:5: duplicate section [customer b], first at customers.ini:3; "
        "keep one of the two",
        "customers.ini:8: plan is 'no name', not a name; use up to 128 letters, "
        "digits, '.', '_' and '-'",
        "customers.ini:9: contact is 'a\\x07', which has unprintable characters; "
        "remove them",
    ]
    assert check_texts("# only comments", "")[0].startswith(
        "plans.ini:1: both lists are"
    )  # type: ignore[index]


def test_all_faults_of_both_files_are_reported_together() -> None:
    """Guards against a check that reports only the first fault."""
    plans = PLANS
    expected = 0
    for old, new in (("2s", "2"), ("rate = 50\n", ""), ("64KiB", "x"), ("bulk", "b")):
        plans = plans.replace(old, new, 1)
        expected += 1
    faults = check_texts(plans + "junk\n", CUSTOMERS.replace("gold", "lead"))
    assert len(faults) == expected + 2  # type: ignore[arg-type]


@given(value=SECONDS | RATES)
def test_formatted_floats_parse_to_the_same_float(value: float) -> None:
    """Guards against values that are rounded when they are written or read."""
    assert parse_seconds(format_seconds(value)) == value
    assert parse_rate(format_rate(value)) == value


@given(count=COUNTS)
def test_formatted_sizes_parse_to_the_same_size(count: int) -> None:
    """Guards against a size that changes on export."""
    assert parse_bytes(format_bytes(count)) == count


def test_quantities_parse_exactly_and_strictly() -> None:
    """Guards against binary rounding of decimals, and against other number formats."""
    assert parse_seconds("250ms") == 0.25
    assert parse_seconds("0.1 s") == 0.1
    assert parse_bytes("1.5MiB") == 3 << 19
    assert type(parse_rate("50")) is float
    assert format_seconds(Decimal("0.25")) == "250ms"  # type: ignore[arg-type]
    for text in ("nan", "inf", "1e3", "٣", "1_000", "", "0x10", "9" * 5000):
        assert isinstance(parse_call_count(text), BadValue)
        assert isinstance(parse_rate(text), BadValue)
