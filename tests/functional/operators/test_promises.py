"""The operators' promises, end to end against the platform stand-in."""

import re
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from tests.functional.operators.conftest import Answer, Desk
from tests.lib.listtexts import PLANS

scenarios("promises.feature")

PLANS_WITH_BASIC = PLANS + "\n[plan basic]\n"
CONTROL_ROOM = "\n[customer control-room]\nplan = gold\n"


@dataclass
class Race:
    """Files, base revision and last answer of each operator."""

    revision: str = ""
    place_by_name: dict[str, Path] = field(default_factory=dict)
    left_by_ana: str = ""
    answer: Answer | None = None
    dropped: list[dict[str, Any]] = field(default_factory=list)


@pytest.fixture
def race() -> Race:
    return Race()


@given("version 1 is committed")
def version_one(desk: Desk) -> None:
    place = desk.write("first", plans=PLANS_WITH_BASIC)
    assert desk.cli("apply", place, "--expect", "0").code == 0


@given("ana and ben exported the newest lists")
def exported(desk: Desk, race: Race) -> None:
    for name in ("ana", "ben"):
        race.place_by_name[name] = desk.home / name
        answer = desk.cli("export", str(desk.home / name), "--json")
        assert answer.code == 0
        race.revision = str(answer.json()["expect"])


@given("the store loses the answer of the next commit")
def lose_answer(desk: Desk) -> None:
    desk.platform.lose_commits = 1


@given("the store drops the next commit without an answer")
def drop_commit(desk: Desk, race: Race, monkeypatch: pytest.MonkeyPatch) -> None:
    table = desk.platform.table
    transact = table.transact

    def drop(body: dict[str, Any]) -> dict[str, Any]:
        race.dropped.append(body)
        table.transact = transact  # type: ignore[method-assign]
        desk.platform.faults["lose_answers"] = 1
        return {}

    monkeypatch.setattr(table, "transact", drop)


@given("the store is down")
def store_down(desk: Desk) -> None:
    desk.platform.faults["down"] = True
    desk.daemon.status = {"daemon": "d1", "version": 4711, "state": "ready"}


@when("ben moves customer desk to plan basic and applies")
def ben_edits(desk: Desk, race: Race) -> None:
    edit(race.place_by_name["ben"], "plan = gold", "plan = basic")
    assert apply(desk, race, "ben").code == 0


@when("ana adds customer control-room and applies")
def ana_edits(desk: Desk, race: Race) -> None:
    edit(race.place_by_name["ana"], "", "", added=CONTROL_ROOM)
    race.left_by_ana = (race.place_by_name["ana"] / "customers.ini").read_text()
    race.answer = apply(desk, race, "ana")


@when("ana takes over ben's change and applies with the revision she is shown")
def ana_again(desk: Desk, race: Race) -> None:
    assert race.answer is not None
    shown = re.search(r"--expect (\d+)$", race.answer.out.strip())
    assert shown is not None
    race.revision = shown[1]
    edit(
        race.place_by_name["ana"],
        "plan = gold\ncontact = D",
        "plan = basic\ncontact = D",
    )
    race.answer = apply(desk, race, "ana")


@when("ana undoes version 2")
def ana_undoes(desk: Desk, race: Race) -> None:
    race.answer = desk.cli("undo", "2")


@when("the dropped commit arrives after all")
def late_commit(desk: Desk, race: Race) -> None:
    assert len(race.dropped) == 1
    assert desk.platform.table.transact(race.dropped[0])["committed"] is False


@when("the store is up again")
def store_up(desk: Desk) -> None:
    desk.platform.faults["down"] = False


@then(parsers.parse("ana's command ends with exit code {code:d}"))
def exit_code(race: Race, code: int) -> None:
    assert race.answer is not None
    assert race.answer.code == code, race.answer


@then("ana is shown that ben moved desk to plan basic")
def shown_change(race: Race) -> None:
    assert race.answer is not None
    lines = race.answer.out.splitlines()
    theirs = lines[lines.index("changed by others:") + 1]
    assert theirs == "  ~ customer/desk plan=gold->basic"
    assert any(line.startswith("version 2 by ben") for line in lines)
    assert "  + customer/control-room contact= plan=gold" in lines


@then("ana is shown the version that the daemon holds")
def shown_daemon(race: Race) -> None:
    assert race.answer is not None
    assert re.search(r"d1 .* 4711 .* ready", race.answer.out), race.answer
    assert "nothing was written" in race.answer.err


@then("ana's files are as she left them")
def files_kept(race: Race) -> None:
    text = (race.place_by_name["ana"] / "customers.ini").read_text()
    assert text == race.left_by_ana
    assert CONTROL_ROOM in text


@then(parsers.parse("the newest version is {version:d}"))
def newest(desk: Desk, version: int) -> None:
    assert desk.versions() == list(range(version, 0, -1))


@then(parsers.parse("the store has seen {count:d} transactions"))
def transactions(desk: Desk, count: int) -> None:
    assert desk.platform.count_by_operation["transact"] == count


@then(parsers.parse("customer {customer} has plan {plan}"))
def customer_plan(desk: Desk, customer: str, plan: str) -> None:
    rows = desk.cli("show", "--json").json()["rows"]
    assert rows[f"customer/{customer}"]["plan"] == plan


def edit(place: Path, old: str, new: str, added: str = "") -> None:
    path = place / "customers.ini"
    text = path.read_text()
    assert old in text
    path.write_text(text.replace(old, new, 1) + added)


def apply(desk: Desk, race: Race, name: str) -> Answer:
    arguments = ("apply", str(race.place_by_name[name]), "--expect", race.revision)
    daemons = ("--daemons", desk.daemon_address)
    return desk.cli(*arguments, "--author", name, *daemons)


def test_lost_answers_are_armed_by_the_stand_in(desk: Desk) -> None:
    """Guards against a stand-in that no longer calls ``lose_answer``."""
    desk.platform.lose_commits = 1
    assert desk.cli("apply", desk.write("x"), "--expect", "0").code == 0
    assert desk.platform.lose_commits == 0
    assert desk.platform.faults["lose_answers"] == 0
