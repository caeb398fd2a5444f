"""Every command and every exit code of the command line."""

from pathlib import Path
from typing import Any

import pytest

from cassiasail._internal.cli import main as cli_main
from cassiasail._internal.cli.status_text import fleet_lines, largest_fleet_view
from cassiasail._internal.ids import Version
from cassiasail._internal.state.listcodec import decode_delta, encode_snapshot
from cassiasail._internal.state.lists import Snapshot, digest_of_rows
from tests.functional.operators.conftest import Operator
from tests.lib.listtexts import CUSTOMERS, PLANS

UNUSED_ADDRESS = "127.0.0.1:1"  # no process listens on this port

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


def test_export_of_a_commit_is_accepted_without_change(operator: Operator) -> None:
    """Guards against an export that differs from the lists that were committed."""
    operator.commit_first()
    directory = str(operator.home / "out")
    exported = operator.run_with_store("export", directory)
    assert exported.code == 0
    revision = operator.newest_revision()
    assert exported.out.endswith(f"apply with --expect {revision}\n")
    assert f"version 1, revision {revision}" in Path(directory, "plans.ini").read_text()
    assert "no changes" in operator.run_with_store("diff", directory).out
    again = operator.run_with_store("apply", directory, "--expect", revision)
    assert (again.code, operator.committed_versions()) == (0, [1])
    refused = operator.run_with_store("export", directory)
    assert (refused.code, "--force" in refused.err) == (2, True)
    assert operator.run_with_store("export", directory, "--force").code == 0


def test_commit_is_offered_to_daemons_and_shown(operator: Operator) -> None:
    """Guards against offering daemons a delta other than the committed one."""
    directory = operator.write_lists("lists")
    daemons = ("--daemons", f"{operator.daemon_address},{UNUSED_ADDRESS}")
    applied = operator.run_with_store(
        "apply", directory, "--expect=0", "--comment=first lists", *daemons
    )
    assert applied.code == 0
    assert f"handed to {operator.daemon_address}" in applied.out
    assert f"not handed to {UNUSED_ADDRESS}: no connection" in applied.out
    delta = decode_delta(operator.daemon.offers[0])
    assert (delta.version, delta.base) == (Version(1), Version(0))
    assert delta.changed_by_key["customer/desk"]["plan"] == "gold"
    assert "first lists" in operator.run_with_store("history").out
    shown = operator.run_with_store("show").out
    assert "gold  array-ctl  /setpoints  50    100    20         64KiB" in shown
    operator.daemon.offer_status = 500
    moved = CUSTOMERS.replace("Dispatch", "Control")
    directory = operator.write_lists("lists", customers=moved)
    applied = operator.run_with_store(
        "apply", directory, "--expect", operator.newest_revision(), *daemons
    )
    assert applied.code == 0
    assert "responded with 500: no thanks" in applied.out
    assert "the daemons will read it from the store" in applied.out
    old = operator.run_with_store("show", "--version", "1", "--json").json()["rows"]
    assert old["customer/desk"]["contact"].startswith("Dispatch")


def test_input_faults_write_nothing(operator: Operator) -> None:
    """Guards against requests to the store for list files that have faults."""
    directory = operator.write_lists(
        "bad", plans=PLANS.replace("rate = 50", "rate = -1")
    )
    for arguments in (("validate",), ("diff",), ("apply", "--expect", "0")):
        result = operator.run_with_store(arguments[0], directory, *arguments[1:])
        assert result.code == 1
        assert result.out == (
            f"{directory}/plans.ini:17: [allowance gold array-ctl /setpoints] rate is "
            "-1.0; use a number from 0 to 1e+09\n"
        )
    assert (
        operator.run("validate", directory, "--json").json()["faults"][0]["line"] == 17
    )
    assert operator.run("validate", operator.write_lists("good")).code == 0
    Path(directory, "plans.ini").write_bytes(b"\xff")
    assert "is not UTF-8" in operator.run("validate", directory).err
    assert not operator.platform.count_by_operation
    operator.commit_first()
    assert operator.run_with_store("undo", "7").code == 1
    emptied = operator.run_with_store("undo", "1")
    assert (emptied.code, "would be empty" in emptied.out) == (1, True)
    assert operator.committed_versions() == [1]


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
        (["validate", "plans.ini"], "an edit consists of both lists"),
        (["validate", "plans.ini", "customers.ini"], "cannot read plans.ini"),
        (["show", "--store", "here"], "write HOST:PORT"),
        (["show", "--store"], "expected one argument"),
        (["show", "--timeout", "5"], "has no unit"),
        (["show", "--config", "/does/not/exist"], "cannot read /does/not/exist"),
        (["daemon", "nowhere"], "write HOST:PORT"),
    ],
)
def test_usage_errors_exit_with_2_and_a_message(
    operator: Operator, arguments: list[str], text: str
) -> None:
    """Guards against a traceback or another exit code for wrong arguments."""
    result = operator.run(*arguments)
    assert result.code == 2
    assert text in result.err
    assert "Traceback" not in result.err


def test_mistyped_option_of_apply_writes_nothing(operator: Operator) -> None:
    """Guards against Fire, which calls a function before it checks all options."""
    directory = operator.write_lists("lists")
    result = operator.run_with_store(
        "apply", directory, "--expect", "0", "--coment", "x"
    )
    assert result.code == 2
    assert not operator.platform.count_by_operation


def test_conflict_lists_rows_changed_by_both_sides(operator: Operator) -> None:
    """Guards against a later edit that overwrites an earlier change of the same row."""
    operator.commit_first()
    revision = operator.newest_revision()
    for contact in ("Control", "Central"):
        directory = operator.write_lists(
            contact, customers=CUSTOMERS.replace("Dispatch", contact)
        )
        result = operator.run_with_store(
            "apply", directory, "--expect", revision, "--json"
        )
    assert result.code == 3
    conflict = result.json()["conflict"]
    assert conflict["both"] == ["customer/desk"]
    assert conflict["theirs"]["set"]["customer/desk"]["contact"].startswith("Control")
    assert conflict["mine"]["set"]["customer/desk"]["contact"].startswith("Central")
    assert str(conflict["revision"]) == operator.newest_revision()
    unknown = operator.run_with_store("apply", directory, "--expect", "999")
    assert (unknown.code, "no version was found for revision 999" in unknown.out) == (
        3,
        True,
    )
    blocked = operator.run_with_store("undo", "1")
    assert (blocked.code, "customer/desk" in blocked.out) == (3, True)


def test_unreachable_and_slow_stores_are_reported(operator: Operator) -> None:
    """Guards against a missing store error or missing statuses of the daemons."""
    operator.commit_first()
    operator.daemon.status = STATUS
    operator.platform.faults["down"] = True
    daemons = ("--daemons", operator.daemon_address)
    for command in (["show"], ["history"], ["undo", "1"], ["export", "x"], ["edit"]):
        result = operator.run_with_store(*command, *daemons)
        assert result.code == 4
        assert "says that it is unavailable" in result.err
        assert "answered 61 s ago, now unreachable" in result.out
    status = operator.run_with_store("status", *daemons)
    assert status.code == 4
    assert "kzn-1        1: 2, 0: 1          d3 at 0 (content)" in status.out
    assert "members: 3 alive, 1 unreachable, unknown dead" in status.out
    assert "d1 refused version 2: content ('plan\\x1b[31m')" in status.out
    unreachable = operator.run("show", "--store", UNUSED_ADDRESS, "--json", *daemons)
    assert unreachable.code == 4
    assert unreachable.json()["daemons"][0]["status"]["version"] == 1
    operator.platform.faults.update(down=False, delay=0.6)
    timed_out = operator.run_with_store("show", "--timeout", "100ms")
    assert (timed_out.code, "did not respond within 0.1 s" in timed_out.err) == (
        4,
        True,
    )
    operator.platform.faults["delay"] = 1.1
    slow = operator.run_with_store("show", "--timeout", "60s")
    assert (slow.code, "the store is slow" in slow.err) == (0, True)


def test_unreachable_daemons_have_their_own_exit_code(operator: Operator) -> None:
    """Guards against hiding what the store returns when daemons are unreachable."""
    operator.commit_first()
    unreachable_daemon = ("--daemons", UNUSED_ADDRESS)
    status = operator.run_with_store("status", *unreachable_daemon)
    assert (status.code, "version 1, revision" in status.out) == (5, True)
    assert operator.run("daemon", UNUSED_ADDRESS).code == 5
    assert operator.run("explain", "desk", "tide-svc", *unreachable_daemon).code == 5
    explained = operator.run_with_store(
        "explain", "desk", "tide-svc", *unreachable_daemon
    )
    assert explained.code == 5
    assert "plan gold, version 1, according to the store" in explained.out
    assert "/     bulk   0.5   2      1          1MiB" in explained.out
    assert "targets are unknown" in explained.out
    assert operator.run_with_store("explain", "nobody", "tide-svc").code == 1


def test_unexpected_daemon_responses_are_shown(operator: Operator) -> None:
    """Guards against failing on a daemon of another version or another server."""
    address = operator.daemon_address
    operator.daemon.explanation = {
        "plan": "gold",
        "routes": [{"path": "/"}],
        "targets": [],
    }
    explained = operator.run("explain", "007", "None", "--daemons", address)
    assert explained.code == 0
    assert operator.daemon.queries == [{"customer": "007", "service": "None"}]
    assert "plan gold, version unknown" in explained.out
    operator.daemon.status = STATUS
    assert "t1      tide-svc  ready" in operator.run("daemon", address).out
    for status in ({}, {"store": 3, "fleet": [1], "members": [], "refused": "x"}):
        operator.daemon.status = status
        assert operator.run("status", "--daemons", address).code == 0
        assert "unknown" in operator.run("daemon", address).out
    operator.daemon.status = ["not", "an", "object"]
    result = operator.run("daemon", address)
    assert (result.code, "is this its admin address?" in result.err) == (5, True)


def test_damaged_store_can_be_repaired_by_undo(operator: Operator) -> None:
    """Guards against a damaged version that no command can replace."""
    operator.commit_first()
    directory = operator.write_lists(
        "x", customers=CUSTOMERS.replace("Dispatch", "Control")
    )
    assert (
        operator.run_with_store(
            "apply", directory, "--expect", operator.newest_revision()
        ).code
        == 0
    )
    rows = {**newest_rows(operator), "customer/a b": {}, "x": {}}
    overwrite_newest_version(operator, rows)
    shown = operator.run_with_store("show")
    assert shown.out.count("daemons refuse this version") == 2
    assert operator.run_with_store("explain", "desk", "tide-svc").code == 7
    head, _ = operator.platform.table.row_by_key["config/head"]
    operator.platform.object_by_name[head["snapshot"]] = b"damaged"
    shown = operator.run_with_store("show")
    assert (shown.code, "damaged data" in shown.err) == (7, True)
    assert operator.run_with_store("undo", "2").code == 0
    assert operator.committed_versions() == [3, 2, 1]
    assert "Dispatch desk" in operator.run_with_store("show").out


def newest_rows(operator: Operator) -> dict[str, Any]:
    rows: dict[str, Any] = operator.run_with_store("show", "--json").json()["rows"]
    return rows


def overwrite_newest_version(operator: Operator, rows: dict[str, Any]) -> None:
    """Overwrite the newest version with rows that the command line would reject."""
    head, _ = operator.platform.table.row_by_key["config/head"]
    head["digest"] = digest_of_rows(rows).to_bytes(16, "big")
    snapshot = Snapshot(
        version=head["version"], digest=digest_of_rows(rows), rows_by_key=rows
    )
    operator.platform.object_by_name[head["snapshot"]] = encode_snapshot(snapshot)


def test_unknown_outcome_has_its_own_exit_code(
    operator: Operator, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against 'nothing was written' when the commit may have taken effect."""
    monkeypatch.setattr(
        "cassiasail._internal.coordination.commits.RESOLVE_SECONDS", 0.0
    )
    table = operator.platform.table
    transact = table.transact

    def commit_then_go_down(body: object) -> object:
        operator.platform.faults.update(down=True, lose_answers=1)
        return transact(body)  # type: ignore[arg-type]

    monkeypatch.setattr(table, "transact", commit_then_go_down)
    result = operator.run_with_store(
        "apply", operator.write_lists("x"), "--expect", "0"
    )
    assert result.code == 6
    assert "unknown whether edit" in result.err


def test_edit_opens_the_files_in_the_editor(
    operator: Operator, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against opening other files than the printed command applies."""
    operator.commit_first()
    started: list[list[str]] = []
    monkeypatch.setattr("os.execvp", lambda file, command: started.append(command))
    monkeypatch.setenv("EDITOR", "ed -s")
    directory = operator.home / "edit"
    result = operator.run_with_store("edit", str(directory))
    files = [str(directory / "plans.ini"), str(directory / "customers.ini")]
    assert result.code == 0
    assert started == [["ed", "-s", *files]]
    command = result.out.splitlines()[-1].split()
    assert command == [
        "cassiasail",
        "apply",
        *files,
        "--expect",
        operator.newest_revision(),
    ]
    assert operator.run_with_store(*command[1:]).code == 0
    monkeypatch.undo()
    monkeypatch.setenv("EDITOR", "/does/not/exist")
    missing = operator.run_with_store("edit", str(operator.home / "second"))
    assert (missing.code, "open them in another editor" in missing.err) == (2, True)
    monkeypatch.delenv("EDITOR")
    unset = operator.run_with_store("edit", str(operator.home / "third"))
    assert (unset.code, "EDITOR is not set" in unset.err) == (0, True)


def test_options_override_the_settings_file(operator: Operator) -> None:
    """Guards against a settings file that takes precedence over options."""
    operator.commit_first()
    path = operator.home / ".config" / "cassiasail.ini"
    path.parent.mkdir()
    path.write_text(f"[cassiasail]\nstore = {operator.store}\n")
    assert operator.run("show").code == 0
    other = operator.home / "other.ini"
    other.write_text(f"[cassiasail]\nstore = {UNUSED_ADDRESS}\n")
    operator.environ["CASSIASAIL_CONFIG"] = str(other)
    assert operator.run("show").code == 4
    assert operator.run("show", "--config", str(path)).code == 0
    assert operator.run("show", "--store", operator.store).code == 0
    for text in ("[cassiasail]\nstor = x\n", "store = x\n", "[other]\n"):
        other.write_text(text)
        assert operator.run("show").code == 2


def test_main_exits_with_the_exit_code_and_lists_all_commands(
    capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a command without module or summary and a wrong exit code."""
    folder = Path(cli_main.__file__).parent / "commands"
    modules = {path.stem for path in folder.glob("*.py")} - {"__init__"}
    assert modules == set(cli_main.SUMMARY_BY_COMMAND)
    for arguments, code in ((["--help"], 0), ([], 2), (["nothing"], 2)):
        with pytest.raises(SystemExit) as exit_error:
            cli_main.main(arguments)
        assert exit_error.value.code == code
    assert "Usage: cassiasail COMMAND" in capsys.readouterr().out

    def interrupt(*arguments: object, **options: object) -> None:
        raise KeyboardInterrupt

    monkeypatch.setattr(cli_main, "run", interrupt)
    with pytest.raises(SystemExit) as exit_error:
        cli_main.main(["show"])
    assert exit_error.value.code == 130


def test_fleet_view_is_that_of_the_daemon_that_counts_most() -> None:
    """Guards against showing the view of a leaf, which counts only itself."""
    leaf = {"fleet": [{"version_counts": {"9": 1}}], "scope": "subtree"}
    malformed = {
        "fleet": [{"version_counts": ["9"]}, {"version_counts": {"9": "many"}}]
    }
    assert largest_fleet_view([leaf, STATUS, malformed]) is STATUS
    assert largest_fleet_view([]) == {}
    assert next(fleet_lines({**leaf, "daemon": "d2"})).endswith("d2, scope subtree:")
