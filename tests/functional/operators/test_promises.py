"""Guarantees for operators, end to end against the platform stand-in."""

import re
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from tests.functional.operators.conftest import CommandResult, Operator
from tests.lib.listtexts import PLANS

scenarios("promises.feature")

PLANS_WITH_BASIC = PLANS + "\n[plan basic]\n"
CONTROL_ROOM = "\n[customer control-room]\nplan = gold\n"


@dataclass
class ConcurrentEdits:
    """The operators' files, the base revision and the last result of ana's command."""

    revision: str = ""
    directory_by_name: dict[str, Path] = field(default_factory=dict)
    customers_text_of_ana: str = ""
    result: CommandResult | None = None
    dropped: list[dict[str, Any]] = field(default_factory=list)


@pytest.fixture
def edits() -> ConcurrentEdits:
    return ConcurrentEdits()


@given("version 1 is committed")
def commit_version_1(operator: Operator) -> None:
    directory = operator.write_lists("first", plans=PLANS_WITH_BASIC)
    assert operator.run_with_store("apply", directory, "--expect", "0").code == 0


@given("ana and ben exported the newest lists")
def export_lists(operator: Operator, edits: ConcurrentEdits) -> None:
    for name in ("ana", "ben"):
        edits.directory_by_name[name] = operator.home / name
        result = operator.run_with_store("export", str(operator.home / name), "--json")
        assert result.code == 0
        edits.revision = str(result.json()["expect"])


@given("the store loses the response to the next commit")
def lose_commit_response(operator: Operator) -> None:
    operator.platform.lose_commits = 1


@given("the store drops the next commit without a response")
def drop_commit(
    operator: Operator, edits: ConcurrentEdits, monkeypatch: pytest.MonkeyPatch
) -> None:
    table = operator.platform.table
    transact = table.transact

    def drop(body: dict[str, Any]) -> dict[str, Any]:
        edits.dropped.append(body)
        table.transact = transact  # type: ignore[method-assign]
        operator.platform.faults["lose_answers"] = 1
        return {}

    monkeypatch.setattr(table, "transact", drop)


@given("the store is down")
def take_store_down(operator: Operator) -> None:
    operator.platform.faults["down"] = True
    operator.daemon.status = {"daemon": "d1", "version": 4711, "state": "ready"}


@when("ben moves customer desk to plan basic and applies")
def ben_edits(operator: Operator, edits: ConcurrentEdits) -> None:
    edit_customers(edits.directory_by_name["ben"], "plan = gold", "plan = basic")
    assert apply_lists(operator, edits, "ben").code == 0


@when("ana adds customer control-room and applies")
def ana_edits(operator: Operator, edits: ConcurrentEdits) -> None:
    edit_customers(edits.directory_by_name["ana"], "", "", added=CONTROL_ROOM)
    edits.customers_text_of_ana = (
        edits.directory_by_name["ana"] / "customers.ini"
    ).read_text()
    edits.result = apply_lists(operator, edits, "ana")


@when("ana merges ben's change and applies with the printed revision")
def ana_merges(operator: Operator, edits: ConcurrentEdits) -> None:
    assert edits.result is not None
    shown = re.search(r"--expect (\d+)$", edits.result.out.strip())
    assert shown is not None
    edits.revision = shown[1]
    edit_customers(
        edits.directory_by_name["ana"],
        "plan = gold\ncontact = D",
        "plan = basic\ncontact = D",
    )
    edits.result = apply_lists(operator, edits, "ana")


@when("ana undoes version 2")
def ana_undoes(operator: Operator, edits: ConcurrentEdits) -> None:
    edits.result = operator.run_with_store("undo", "2")


@when("the dropped commit arrives late")
def deliver_dropped_commit(operator: Operator, edits: ConcurrentEdits) -> None:
    assert len(edits.dropped) == 1
    assert operator.platform.table.transact(edits.dropped[0])["committed"] is False


@when("the store is up again")
def bring_store_up(operator: Operator) -> None:
    operator.platform.faults["down"] = False


@then(parsers.parse("ana's command ends with exit code {code:d}"))
def command_exits_with(edits: ConcurrentEdits, code: int) -> None:
    assert edits.result is not None
    assert edits.result.code == code, edits.result


@then("ana is shown that ben moved desk to plan basic")
def change_is_shown(edits: ConcurrentEdits) -> None:
    assert edits.result is not None
    lines = edits.result.out.splitlines()
    theirs = lines[lines.index("changed by others:") + 1]
    assert theirs == "  ~ customer/desk plan=gold->basic"
    assert any(line.startswith("version 2 by ben") for line in lines)
    assert "  + customer/control-room contact= plan=gold" in lines


@then("ana is shown the version of the daemon")
def daemon_version_is_shown(edits: ConcurrentEdits) -> None:
    assert edits.result is not None
    assert re.search(r"d1 .* 4711 .* ready", edits.result.out), edits.result
    assert "nothing was written" in edits.result.err


@then("ana's files are unchanged")
def files_are_unchanged(edits: ConcurrentEdits) -> None:
    text = (edits.directory_by_name["ana"] / "customers.ini").read_text()
    assert text == edits.customers_text_of_ana
    assert CONTROL_ROOM in text


@then(parsers.parse("the newest version is {version:d}"))
def newest_version_is(operator: Operator, version: int) -> None:
    assert operator.committed_versions() == list(range(version, 0, -1))


@then(parsers.parse("the store has received {count:d} transactions"))
def transaction_count_is(operator: Operator, count: int) -> None:
    assert operator.platform.count_by_operation["transact"] == count


@then(parsers.parse("customer {customer} has plan {plan}"))
def customer_has_plan(operator: Operator, customer: str, plan: str) -> None:
    rows = operator.run_with_store("show", "--json").json()["rows"]
    assert rows[f"customer/{customer}"]["plan"] == plan


def edit_customers(directory: Path, old: str, new: str, added: str = "") -> None:
    path = directory / "customers.ini"
    text = path.read_text()
    assert old in text
    path.write_text(text.replace(old, new, 1) + added)


def apply_lists(operator: Operator, edits: ConcurrentEdits, name: str) -> CommandResult:
    arguments = (
        "apply",
        str(edits.directory_by_name[name]),
        "--expect",
        edits.revision,
    )
    daemons = ("--daemons", operator.daemon_address)
    return operator.run_with_store(*arguments, "--author", name, *daemons)


def test_stand_in_loses_the_responses_to_commits(operator: Operator) -> None:
    """Guards against a stand-in that no longer calls ``lose_answer``."""
    operator.platform.lose_commits = 1
    assert (
        operator.run_with_store(
            "apply", operator.write_lists("x"), "--expect", "0"
        ).code
        == 0
    )
    assert operator.platform.lose_commits == 0
    assert operator.platform.faults["lose_answers"] == 0
