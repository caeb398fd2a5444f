"""Every command and every exit code of the command line."""

from pathlib import Path
from typing import Any

import pytest

from cassiasail._internal.cli import main as cli_main
from cassiasail._internal.cli.status_text import fleet_lines, widest_view
from cassiasail._internal.ids import Version
from cassiasail._internal.state.listcodec import decode_delta, encode_snapshot
from cassiasail._internal.state.lists import Snapshot, digest_of_rows
from tests.functional.operators.conftest import Desk
from tests.lib.listtexts import CUSTOMERS, PLANS

NOWHERE = "127.0.0.1:1"  # no process listens on this port

STATUS = {
    "daemon": "d1",
    "data_centre": "kzn-1",
    "version": 1,
    "state": "ready",
    "store": {"reachable": False, "last_answer_seconds": 61.2},
    "refused": [{"version": 2, "reason": "content", "detail": "plan\x1b[31m"}],
    "members": {"alive": 3, "unreachable": 1},
    "fleet": [
        {
            "data_centre": "kzn-1",
            "version_counts": {"1": 2, "0": 1},
            "stragglers": [{"daemon": "d3", "version": 0, "reason": "content"}],
        }
    ],
    "targets": [{"target": "t1", "service": "tide-svc", "state": "ready"}],
}


def test_export_of_a_commit_is_accepted_without_change(desk: Desk) -> None:
    """Guards against an export that is not what was applied."""
    desk.commit_first()
    place = str(desk.home / "out")
    exported = desk.cli("export", place)
    assert exported.code == 0
    revision = desk.revision()
    assert exported.out.endswith(f"apply with --expect {revision}\n")
    assert f"version 1, revision {revision}" in Path(place, "plans.ini").read_text()
    assert "no changes" in desk.cli("diff", place).out
    again = desk.cli("apply", place, "--expect", revision)
    assert (again.code, desk.versions()) == (0, [1])
    refused = desk.cli("export", place)
    assert (refused.code, "--force" in refused.err) == (2, True)
    assert desk.cli("export", place, "--force").code == 0


def test_commit_is_handed_to_daemons_and_shown(desk: Desk) -> None:
    """Guards against an offer of something else than the committed delta."""
    place = desk.write("lists")
    daemons = ("--daemons", f"{desk.daemon_address},{NOWHERE}")
    applied = desk.cli("apply", place, "--expect=0", "--comment=first lists", *daemons)
    assert applied.code == 0
    assert f"handed to {desk.daemon_address}" in applied.out
    assert f"not handed to {NOWHERE}: no connection" in applied.out
    delta = decode_delta(desk.daemon.offers[0])
    assert (delta.version, delta.base) == (Version(1), Version(0))
    assert delta.changed_by_key["customer/desk"]["plan"] == "gold"
    assert "first lists" in desk.cli("history").out
    shown = desk.cli("show").out
    assert "gold  array-ctl  /setpoints  50    100    20         64KiB" in shown
    desk.daemon.offer_status = 500
    moved = CUSTOMERS.replace("Dispatch", "Control")
    place = desk.write("lists", customers=moved)
    applied = desk.cli("apply", place, "--expect", desk.revision(), *daemons)
    assert applied.code == 0
    assert "answered 500: no thanks" in applied.out
    assert "the daemons fetch it from the store" in applied.out
    old = desk.cli("show", "--version", "1", "--json").json()["rows"]
    assert old["customer/desk"]["contact"].startswith("Dispatch")


def test_input_faults_write_nothing(desk: Desk) -> None:
    """Guards against faulty files that reach the store, in any command."""
    place = desk.write("bad", plans=PLANS.replace("rate = 50", "rate = -1"))
    for arguments in (("validate",), ("diff",), ("apply", "--expect", "0")):
        answer = desk.cli(arguments[0], place, *arguments[1:])
        assert answer.code == 1
        assert answer.out == (
            f"{place}/plans.ini:17: [allowance gold array-ctl /setpoints] rate is "
            "-1.0; use a number from 0 to 1e+09\n"
        )
    assert desk.bare("validate", place, "--json").json()["faults"][0]["line"] == 17
    assert desk.bare("validate", desk.write("good")).code == 0
    Path(place, "plans.ini").write_bytes(b"\xff")
    assert "is not UTF-8" in desk.bare("validate", place).err
    assert not desk.platform.count_by_operation
    desk.commit_first()
    assert desk.cli("undo", "7").code == 1
    emptied = desk.cli("undo", "1")
    assert (emptied.code, "would be empty" in emptied.out) == (1, True)
    assert desk.versions() == [1]


@pytest.mark.parametrize(
    ("arguments", "text"),
    [
        (["shwo"], "unknown command 'shwo'"),
        (["show", "extra"], "extra"),
        (["show"], "no store is set"),
        (["status"], "neither store nor daemons"),
        (["explain", "desk"], "service"),
        (["apply", "x"], "expect"),
        (["apply", "x", "--expect"], "--expect needs a value"),
        (["apply", "x", "--expect", "-1"], "not a whole number"),
        (["validate", "plans.ini"], "both lists make one edit"),
        (["validate", "plans.ini", "customers.ini"], "cannot read plans.ini"),
        (["show", "--store", "here"], "write HOST:PORT"),
        (["show", "--store"], "expected one argument"),
        (["show", "--timeout", "5"], "has no unit"),
        (["show", "--config", "/does/not/exist"], "cannot read /does/not/exist"),
        (["daemon", "nowhere"], "write HOST:PORT"),
    ],
)
def test_usage_faults(desk: Desk, arguments: list[str], text: str) -> None:
    """Guards against a traceback and against a wrong exit code for a typing error."""
    answer = desk.bare(*arguments)
    assert answer.code == 2
    assert text in answer.err
    assert "Traceback" not in answer.err


def test_mistyped_option_of_apply_writes_nothing(desk: Desk) -> None:
    """Guards against Fire, which calls a function before it sees what is left over."""
    place = desk.write("lists")
    answer = desk.cli("apply", place, "--expect", "0", "--coment", "x")
    assert answer.code == 2
    assert not desk.platform.count_by_operation


def test_conflict_names_rows_changed_by_both(desk: Desk) -> None:
    """Guards against a loser who overwrites the winner's change of the same row."""
    desk.commit_first()
    revision = desk.revision()
    for word in ("Control", "Central"):
        place = desk.write(word, customers=CUSTOMERS.replace("Dispatch", word))
        answer = desk.cli("apply", place, "--expect", revision, "--json")
    assert answer.code == 3
    conflict = answer.json()["conflict"]
    assert conflict["both"] == ["customer/desk"]
    assert conflict["theirs"]["set"]["customer/desk"]["contact"].startswith("Control")
    assert conflict["mine"]["set"]["customer/desk"]["contact"].startswith("Central")
    assert str(conflict["revision"]) == desk.revision()
    unknown = desk.cli("apply", place, "--expect", "999")
    assert (unknown.code, "no version is known" in unknown.out) == (3, True)
    blocked = desk.cli("undo", "1")
    assert (blocked.code, "customer/desk" in blocked.out) == (3, True)


def test_store_down_and_slow(desk: Desk) -> None:
    """Guards against silence about the store, and the loss of what daemons know."""
    desk.commit_first()
    desk.daemon.status = STATUS
    desk.platform.faults["down"] = True
    daemons = ("--daemons", desk.daemon_address)
    for command in (["show"], ["history"], ["undo", "1"], ["export", "x"], ["edit"]):
        answer = desk.cli(*command, *daemons)
        assert answer.code == 4
        assert "says that it is unavailable" in answer.err
        assert "answered 61 s ago, now unreachable" in answer.out
    status = desk.cli("status", *daemons)
    assert status.code == 4
    assert "kzn-1        1: 2, 0: 1          d3 at 0 (content)" in status.out
    assert "members: 3 alive, 1 unreachable, unknown dead" in status.out
    assert "d1 refused version 2: content ('plan\\x1b[31m')" in status.out
    gone = desk.bare("show", "--store", NOWHERE, "--json", *daemons)
    assert gone.code == 4
    assert gone.json()["daemons"][0]["status"]["version"] == 1
    desk.platform.faults.update(down=False, delay=0.6)
    late = desk.cli("show", "--timeout", "100ms")
    assert (late.code, "did not answer within 0.1 s" in late.err) == (4, True)
    desk.platform.faults["delay"] = 1.1
    slow = desk.cli("show", "--timeout", "60s")
    assert (slow.code, "the store is slow" in slow.err) == (0, True)


def test_daemons_unreachable(desk: Desk) -> None:
    """Guards against commands that fail when only the daemons are away."""
    desk.commit_first()
    nowhere = ("--daemons", NOWHERE)
    status = desk.cli("status", *nowhere)
    assert (status.code, "version 1, revision" in status.out) == (5, True)
    assert desk.bare("daemon", NOWHERE).code == 5
    assert desk.bare("explain", "desk", "tide-svc", *nowhere).code == 5
    explained = desk.cli("explain", "desk", "tide-svc", *nowhere)
    assert explained.code == 5
    assert "plan gold, version 1, according to the store" in explained.out
    assert "/     bulk   0.5   2      1          1MiB" in explained.out
    assert "targets are unknown" in explained.out
    assert desk.cli("explain", "nobody", "tide-svc").code == 1


def test_daemon_answers_are_shown_as_they_come(desk: Desk) -> None:
    """Guards against failing on a daemon that is older, newer or something else."""
    address = desk.daemon_address
    desk.daemon.explanation = {"plan": "gold", "routes": [{"path": "/"}], "targets": []}
    explained = desk.bare("explain", "007", "None", "--daemons", address)
    assert explained.code == 0
    assert desk.daemon.queries == [{"customer": "007", "service": "None"}]
    assert "plan gold, version unknown" in explained.out
    desk.daemon.status = STATUS
    assert "t1      tide-svc  ready" in desk.bare("daemon", address).out
    for status in ({}, {"store": 3, "fleet": [1], "members": [], "refused": "x"}):
        desk.daemon.status = status
        assert desk.bare("status", "--daemons", address).code == 0
        assert "unknown" in desk.bare("daemon", address).out
    desk.daemon.status = ["not", "an", "object"]
    answer = desk.bare("daemon", address)
    assert (answer.code, "is this its admin address?" in answer.err) == (5, True)


def test_damaged_store_can_be_repaired_by_undo(desk: Desk) -> None:
    """Guards against a damaged version that locks the operators out."""
    desk.commit_first()
    place = desk.write("x", customers=CUSTOMERS.replace("Dispatch", "Control"))
    assert desk.cli("apply", place, "--expect", desk.revision()).code == 0
    rows = {**lists_of(desk), "customer/a b": {}, "x": {}}
    write_version(desk, rows)
    shown = desk.cli("show")
    assert shown.out.count("daemons refuse this version") == 2
    assert desk.cli("explain", "desk", "tide-svc").code == 7
    head, _ = desk.platform.table.row_by_key["config/head"]
    desk.platform.object_by_name[head["snapshot"]] = b"damaged"
    shown = desk.cli("show")
    assert (shown.code, "damaged data" in shown.err) == (7, True)
    assert desk.cli("undo", "2").code == 0
    assert desk.versions() == [3, 2, 1]
    assert "Dispatch desk" in desk.cli("show").out


def lists_of(desk: Desk) -> dict[str, Any]:
    rows: dict[str, Any] = desk.cli("show", "--json").json()["rows"]
    return rows


def write_version(desk: Desk, rows: dict[str, Any]) -> None:
    """Replace the newest version by rows that no command line would commit."""
    head, _ = desk.platform.table.row_by_key["config/head"]
    head["digest"] = digest_of_rows(rows).to_bytes(16, "big")
    snapshot = Snapshot(
        version=head["version"], digest=digest_of_rows(rows), rows_by_key=rows
    )
    desk.platform.object_by_name[head["snapshot"]] = encode_snapshot(snapshot)


def test_unknown_outcome_has_its_own_exit_code(
    desk: Desk, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against 'nothing was written' where that is not known."""
    monkeypatch.setattr(
        "cassiasail._internal.coordination.commits.RESOLVE_SECONDS", 0.0
    )
    table = desk.platform.table
    transact = table.transact

    def commit_and_fall(body: object) -> object:
        desk.platform.faults.update(down=True, lose_answers=1)
        return transact(body)  # type: ignore[arg-type]

    monkeypatch.setattr(table, "transact", commit_and_fall)
    answer = desk.cli("apply", desk.write("x"), "--expect", "0")
    assert answer.code == 6
    assert "unknown whether edit" in answer.err


def test_edit_hands_the_files_to_the_editor(
    desk: Desk, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against an editor on other files than the printed command applies."""
    desk.commit_first()
    started: list[list[str]] = []
    monkeypatch.setattr("os.execvp", lambda file, command: started.append(command))
    monkeypatch.setenv("EDITOR", "ed -s")
    place = desk.home / "edit"
    answer = desk.cli("edit", str(place))
    files = [str(place / "plans.ini"), str(place / "customers.ini")]
    assert answer.code == 0
    assert started == [["ed", "-s", *files]]
    command = answer.out.splitlines()[-1].split()
    assert command == ["cassiasail", "apply", *files, "--expect", desk.revision()]
    assert desk.cli(*command[1:]).code == 0
    monkeypatch.undo()
    monkeypatch.setenv("EDITOR", "/does/not/exist")
    missing = desk.cli("edit", str(desk.home / "second"))
    assert (missing.code, "open them in another editor" in missing.err) == (2, True)
    monkeypatch.delenv("EDITOR")
    unset = desk.cli("edit", str(desk.home / "third"))
    assert (unset.code, "EDITOR is not set" in unset.err) == (0, True)


def test_settings_come_from_options_then_the_file(desk: Desk) -> None:
    """Guards against a settings file that overrides what the operator typed."""
    desk.commit_first()
    path = desk.home / ".config" / "cassiasail.ini"
    path.parent.mkdir()
    path.write_text(f"[cassiasail]\nstore = {desk.store}\n")
    assert desk.bare("show").code == 0
    other = desk.home / "other.ini"
    other.write_text(f"[cassiasail]\nstore = {NOWHERE}\n")
    desk.environ["CASSIASAIL_CONFIG"] = str(other)
    assert desk.bare("show").code == 4
    assert desk.bare("show", "--config", str(path)).code == 0
    assert desk.bare("show", "--store", desk.store).code == 0
    for text in ("[cassiasail]\nstor = x\n", "store = x\n", "[other]\n"):
        other.write_text(text)
        assert desk.bare("show").code == 2


def test_main_exits_with_the_code_and_lists_all_commands(
    capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a command without module or summary, and a lost exit code."""
    folder = Path(cli_main.__file__).parent / "commands"
    modules = {path.stem for path in folder.glob("*.py")} - {"__init__"}
    assert modules == set(cli_main.SUMMARY_BY_COMMAND)
    for arguments, code in ((["--help"], 0), ([], 2), (["nothing"], 2)):
        with pytest.raises(SystemExit) as ended:
            cli_main.main(arguments)
        assert ended.value.code == code
    assert "Usage: cassiasail COMMAND" in capsys.readouterr().out

    def interrupt(*arguments: object, **options: object) -> None:
        raise KeyboardInterrupt

    monkeypatch.setattr(cli_main, "run", interrupt)
    with pytest.raises(SystemExit) as ended:
        cli_main.main(["show"])
    assert ended.value.code == 130


def test_fleet_is_shown_by_the_daemon_that_counts_most() -> None:
    """Guards against the view of a leaf, which counts only itself."""
    leaf = {"fleet": [{"version_counts": {"9": 1}}], "scope": "subtree"}
    odd = {"fleet": [{"version_counts": ["9"]}, {"version_counts": {"9": "many"}}]}
    assert widest_view([leaf, STATUS, odd]) is STATUS
    assert widest_view([]) == {}
    assert next(fleet_lines({**leaf, "daemon": "d2"})).endswith("d2, scope subtree:")
