"""Tests of commits by concurrent operators on a faulty store.

The store loses responses, delays writes and goes down.
"""

from collections.abc import Callable, Coroutine
from random import Random
from typing import Any

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from cassiasail._internal.coordination.commits import (
    Accepted,
    Edit,
    NotWritten,
    OutcomeUnknown,
    Rejected,
    Unchanged,
    commit,
    new_edit_id,
)
from cassiasail._internal.coordination.conflicts import EditConflict
from cassiasail._internal.coordination.history import (
    Damaged,
    Head,
    read_head,
    read_history,
)
from cassiasail._internal.coordination.undo import UndoBlocked, UndoPlan, plan_undo
from cassiasail._internal.ids import Version
from cassiasail._internal.state import listcodec
from cassiasail._internal.state.lists import diff, lists_from_rows
from cassiasail._internal.state.versions import AppliedVersion, VersionedLists
from tests.lib.clocks import VirtualClock
from tests.lib.fakestore import FakeStore

Rows = dict[str, dict[str, Any]]


def run_to_completion(coroutine: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine that never suspends, as is the case on a virtual clock."""
    try:
        coroutine.send(None)
    except StopIteration as finished:
        return finished.value
    raise AssertionError("the coroutine suspended; it must use the virtual clock only")


class RacingStore(FakeStore):
    """Runs ``before_transact`` once, just before the next transaction.

    ``lose_transact_responses`` loses the responses to the next N transactions only;
    ``lose_responses`` of the base class counts writes of objects as well.
    ``down_after_commit`` takes the store down immediately after the next transaction.
    """

    before_transact: Callable[[], Coroutine[Any, Any, Any]] | None = None
    lose_transact_responses = 0
    down_after_commit = False

    async def transact(self, conditions: Any, writes: Any) -> Any:
        concurrent_commit, self.before_transact = self.before_transact, None
        if concurrent_commit is not None:
            await concurrent_commit()
        if self.lose_transact_responses > 0:
            self.lose_transact_responses -= 1
            self.lose_responses = 1
        result = await super().transact(conditions, writes)
        if self.down_after_commit:
            self.down, self.down_after_commit = True, False
        return result


def rows_with_customers(*customers: str, plan: str = "gold") -> Rows:
    found: Rows = {"plan/gold": {}, "plan/basic": {}}
    for customer in customers:
        found[f"customer/{customer}"] = {"plan": plan, "contact": ""}
    return found


def make_store() -> tuple[RacingStore, VirtualClock]:
    clock = VirtualClock()
    return RacingStore(clock=clock, rng=Random(1)), clock


def edit_of(rows: Rows, expected_revision: int) -> Edit:
    return Edit(
        lists=lists_from_rows(rows),
        expected_revision=expected_revision,
        edit_id=new_edit_id(),
        author="ana",
        comment="",
    )


def head_of(store: FakeStore) -> Head:
    head = run_to_completion(read_head(store))
    assert isinstance(head, Head)
    return head


class ConcurrentOperators(RuleBasedStateMachine):
    """Two operators commit edits; the oracle has the rows of each committed version.

    ``view_by_operator`` is the revision and the rows that an operator last read.
    ``pending_edits`` are the rows of edits with an unknown outcome by edit id, and
    ``rejected_ids`` the ids of edits that must not become a version.
    """

    @initialize()
    def start(self) -> None:
        self.store, self.clock = make_store()
        self.rows_by_version: list[Rows] = [{}]
        self.view_by_operator: dict[str, tuple[int, Rows]] = {
            "ana": (0, {}),
            "ben": (0, {}),
        }
        self.pending_edits: dict[str, Rows] = {}
        self.rejected_ids: set[str] = set()
        self.daemon = VersionedLists()

    @rule(who=st.sampled_from(["ana", "ben"]))
    def read_newest(self, who: str) -> None:
        head = run_to_completion(read_head(self.store))
        if isinstance(head, Head):
            self.append_committed_versions()
            self.view_by_operator[who] = (
                head.revision,
                self.rows_by_version[head.version],
            )

    @rule(
        who=st.sampled_from(["ana", "ben"]),
        customer=st.sampled_from("abc"),
        plan=st.sampled_from(["gold", "basic", None]),
    )
    def commit_edit(self, who: str, customer: str, plan: str | None) -> None:
        self.commit_rows(who, self.rows_after_edit(who, customer, plan))

    @rule(customer=st.sampled_from("abc"), plan=st.sampled_from(["gold", "basic"]))
    def commit_concurrently(self, customer: str, plan: str) -> None:
        """Let ben commit between ana's read of the head row and her transaction."""
        ben_edit = edit_of(
            self.rows_after_edit("ben", customer, plan), self.view_by_operator["ben"][0]
        )

        async def ben_commits() -> None:
            result = await commit(self.store, ben_edit, clock=self.clock)
            self.check_result(ben_edit, result)

        self.store.before_transact = ben_commits
        self.commit_rows("ana", self.rows_after_edit("ana", "a", "basic"))
        self.store.before_transact = None

    @rule(versions_back=st.integers(0, 3))
    def undo(self, versions_back: int) -> None:
        self.append_committed_versions()
        newest = len(self.rows_by_version) - 1
        version = max(1, newest - versions_back)
        plan = run_to_completion(plan_undo(self.store, Version(version)))
        if isinstance(plan, UndoPlan):
            edit = Edit(
                lists=plan.lists,
                expected_revision=plan.expected_revision,
                edit_id=new_edit_id(),
                author="ana",
            )
            self.append_committed_versions()
            if len(self.rows_by_version) - 1 == newest == version:
                assert plan.lists.rows_by_key == self.rows_by_version[version - 1]
            self.check_result(
                edit, run_to_completion(commit(self.store, edit, clock=self.clock))
            )
        elif isinstance(plan, UndoBlocked):
            assert version < plan.newest
            assert plan.keys

    @rule(
        lost_writes=st.sampled_from([0, 0, 1, 3]),
        lost_transactions=st.integers(0, 2),
        delayed_transactions=st.integers(0, 2),
        delay_seconds=st.floats(0.1, 40),
    )
    def set_write_faults(
        self,
        lost_writes: int,
        lost_transactions: int,
        delayed_transactions: int,
        delay_seconds: float,
    ) -> None:
        self.store.lose_responses, self.store.delay_effects = (
            lost_writes,
            delayed_transactions,
        )
        self.store.lose_transact_responses = lost_transactions
        self.store.effect_delay = delay_seconds

    @rule(down=st.sampled_from([True, False, False]), down_after_commit=st.booleans())
    def set_outage(self, down: bool, down_after_commit: bool) -> None:
        self.store.down, self.store.down_after_commit = down, down_after_commit

    @rule(seconds=st.floats(0, 60))
    def advance(self, seconds: float) -> None:
        self.clock.advance(seconds)
        self.store.apply_due_writes()

    @precondition(lambda self: self.pending_edits)
    @rule()
    def end_faults(self) -> None:
        self.set_write_faults(0, 0, 0, 1.0)
        self.set_outage(False, False)
        self.advance(100)
        self.append_committed_versions()
        # All delayed writes have been applied or have failed their conditions, so the
        # edits that are still pending can never become a version.
        self.rejected_ids |= self.pending_edits.keys()
        self.pending_edits.clear()

    def rows_after_edit(self, who: str, customer: str, plan: str | None) -> Rows:
        rows = {"plan/gold": {}, "plan/basic": {}, **self.view_by_operator[who][1]}
        rows.pop(f"customer/{customer}", None)
        if plan is not None:
            rows[f"customer/{customer}"] = {"plan": plan, "contact": ""}
        return rows

    def commit_rows(self, who: str, rows: Rows) -> None:
        edit = edit_of(rows, self.view_by_operator[who][0])
        self.check_result(
            edit, run_to_completion(commit(self.store, edit, clock=self.clock))
        )

    def check_result(self, edit: Edit, result: Any) -> None:
        rows = dict(edit.lists.rows_by_key)
        if isinstance(result, OutcomeUnknown):
            self.pending_edits[edit.edit_id] = rows
            self.append_committed_versions()
            return
        if isinstance(result, Accepted):
            # Pending, so that the oracle can append it in the order of the store.
            self.pending_edits[edit.edit_id] = rows
            self.append_committed_versions()
            assert edit.edit_id not in self.pending_edits
            assert self.rows_by_version[result.version] == rows
            return
        self.rejected_ids.add(edit.edit_id)
        self.append_committed_versions()
        if isinstance(result, EditConflict) and result.theirs and result.head:
            assert result.base_version is not None
            old = lists_from_rows(self.rows_by_version[result.base_version])
            newest = lists_from_rows(self.rows_by_version[result.head.version])
            assert result.theirs == diff(old, newest)
            assert result.mine == diff(old, edit.lists)
            assert result.head.revision != edit.expected_revision
        else:
            assert isinstance(result, EditConflict | NotWritten | Unchanged | Rejected)

    def append_committed_versions(self) -> None:
        """Append the versions that are in the store and not yet in the oracle."""
        while stored := self.store.row_by_key.get(
            listcodec.version_key(len(self.rows_by_version))
        ):
            row = listcodec.decode_version(stored.value)
            self.rows_by_version.append(self.pending_edits.pop(row.head.edit_id))

    @invariant()
    def history_matches_oracle(self) -> None:
        self.append_committed_versions()
        keys = sorted(key for key in self.store.row_by_key if "version/" in key)
        numbers = range(1, len(self.rows_by_version))
        assert keys == [listcodec.version_key(number) for number in numbers]
        rows = [
            listcodec.decode_version(self.store.row_by_key[key].value) for key in keys
        ]
        ids = [row.head.edit_id for row in rows]
        assert len(set(ids)) == len(ids)
        assert not self.rejected_ids.intersection(ids)
        if not rows:
            return
        head = self.store.row_by_key[listcodec.HEAD_KEY]
        assert listcodec.decode_head(head.value) == rows[-1].head
        for row in rows[self.daemon.version :]:
            delta = listcodec.decode_delta(self.store.object_by_name[row.head.delta])
            assert isinstance(self.daemon.apply_delta(delta), AppliedVersion)
            assert (
                self.daemon.lists.rows_by_key == self.rows_by_version[row.head.version]
            )
            data = self.store.object_by_name[row.head.snapshot]
            assert listcodec.decode_snapshot(data) == self.daemon.snapshot()


ConcurrentOperators.TestCase.settings = settings(
    max_examples=150, stateful_step_count=40, deadline=None, derandomize=True
)
TestConcurrentOperators = ConcurrentOperators.TestCase


def test_commit_that_takes_effect_after_the_first_read_is_found() -> None:
    """Guards against reporting a commit as failed that takes effect shortly after."""
    store, clock = make_store()
    store.delay_effects, store.effect_delay = 1, 2.1
    # Puts of objects are not delayed; the transaction times out after 2 s.
    result = run_to_completion(
        commit(store, edit_of(rows_with_customers("a"), 0), clock=clock)
    )
    assert isinstance(result, Accepted)
    assert store.count_by_operation["read"] > 2
    assert store.count_by_operation["transact"] == 1


def test_fenced_commit_never_takes_effect() -> None:
    """Guards against a late commit after the operator was shown 'not written'."""
    store, clock = make_store()
    store.delay_effects, store.effect_delay = 1, 60.0
    edit = edit_of(rows_with_customers("a"), 0)
    assert isinstance(run_to_completion(commit(store, edit, clock=clock)), NotWritten)
    clock.advance(100)
    store.apply_due_writes()
    assert head_of(store).version == 0
    assert (
        run_to_completion(
            commit(store, edit_of(rows_with_customers("b"), 0), clock=clock)
        ).version
        == 1
    )


def test_outage_after_the_transaction_is_reported_as_unknown() -> None:
    """Guards against reporting an outcome that could not be read."""
    store, clock = make_store()
    store.lose_transact_responses, store.down_after_commit = 1, True
    edit = edit_of(rows_with_customers("a"), 0)
    assert run_to_completion(commit(store, edit, clock=clock)) == OutcomeUnknown(
        edit_id=edit.edit_id
    )
    store.down = False
    # Committing the same files again is safe: the conflict shows the first edit.
    again = run_to_completion(
        commit(store, edit_of(rows_with_customers("a"), 0), clock=clock)
    )
    assert isinstance(again, EditConflict)
    assert again.entries[0].row is not None
    assert again.entries[0].row.head.edit_id == edit.edit_id


def test_damaged_newest_version_can_be_replaced_and_undone() -> None:
    """Guards against a damaged snapshot that prevents the edit that replaces it."""
    store, clock = make_store()
    run_to_completion(commit(store, edit_of(rows_with_customers("a"), 0), clock=clock))
    run_to_completion(
        commit(
            store,
            edit_of(rows_with_customers("b"), head_of(store).revision),
            clock=clock,
        )
    )
    row = head_of(store).row
    assert row is not None
    store.object_by_name[row.snapshot] = b"damaged"
    plan = run_to_completion(plan_undo(store, Version(2)))
    assert isinstance(plan, UndoPlan)
    edit = edit_of(dict(plan.lists.rows_by_key), plan.expected_revision)
    result = run_to_completion(commit(store, edit, clock=clock))
    assert isinstance(result, Accepted)
    assert result.version == 3
    assert plan.lists.rows_by_key == rows_with_customers("a")
    store.row_by_key[listcodec.HEAD_KEY] = store.row_by_key[
        "config/version/" + "0" * 11 + "3"
    ]
    value = store.row_by_key[listcodec.HEAD_KEY].value
    value["digest"] = b"short"
    assert isinstance(run_to_completion(read_head(store)), Damaged)
    assert isinstance(run_to_completion(commit(store, edit, clock=clock)), Damaged)
    entries = run_to_completion(read_history(store))
    assert [entry.row is None for entry in entries] == [True, False, False]


def test_undo_keeps_later_edits_and_is_blocked_if_it_would_revert_them() -> None:
    """Guards against an undo that silently reverts another operator's edit."""
    store, clock = make_store()
    for rows in (
        rows_with_customers("a"),
        rows_with_customers("a", "b"),
        rows_with_customers("a", "b", "c"),
    ):
        run_to_completion(
            commit(store, edit_of(rows, head_of(store).revision), clock=clock)
        )
    plan = run_to_completion(plan_undo(store, Version(2)))
    assert isinstance(plan, UndoPlan)
    assert plan.lists.rows_by_key == rows_with_customers("a", "c")
    changed = rows_with_customers("a", "b", "c", plan="basic")
    run_to_completion(
        commit(store, edit_of(changed, head_of(store).revision), clock=clock)
    )
    blocked = run_to_completion(plan_undo(store, Version(2)))
    assert isinstance(blocked, UndoBlocked)
    assert blocked.keys == ("customer/b",)


def test_digest_matches_if_a_number_only_changes_its_type() -> None:
    """Guards against a digest that daemons refuse: 50 and 50.0 hash differently."""
    store, clock = make_store()
    base: Rows = {"service/s": {}, "plan/gold": {}}
    base["route/s /"] = {
        "class": "bulk",
        "deadline": 5,
        "idempotent": "auto",
        "idempotency_key": "optional",
    }
    daemon = VersionedLists()
    other = {**base, "route/s /": {**base["route/s /"], "deadline": 5.0}, "plan/x": {}}
    for rows in (base, other):
        edit = edit_of(rows, head_of(store).revision)
        result = run_to_completion(commit(store, edit, clock=clock))
        assert isinstance(result, Accepted)
        delta = listcodec.decode_delta(result.delta_object)
        assert isinstance(daemon.apply_delta(delta), AppliedVersion)
    empty = run_to_completion(
        commit(store, edit_of({}, head_of(store).revision), clock=clock)
    )
    assert isinstance(empty, Rejected)
