"""Operators who race over a store that loses answers, delays writes and goes down."""

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


def drive(coroutine: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine that never really waits, as all do on a virtual clock."""
    try:
        coroutine.send(None)
    except StopIteration as finished:
        return finished.value
    raise AssertionError("the coroutine waited for something real")


class RacingStore(FakeStore):
    """Runs ``before_transact`` once, just before the next transaction.

    ``lose_commits`` loses the answers of the next N transactions only, while
    ``lose_answers`` of the base class counts writes of objects, too.
    ``down_after_commit`` takes the store down right after the next transaction.
    """

    before_transact: Callable[[], Coroutine[Any, Any, Any]] | None = None
    lose_commits = 0
    down_after_commit = False

    async def transact(self, conditions: Any, writes: Any) -> Any:
        race, self.before_transact = self.before_transact, None
        if race is not None:
            await race()
        if self.lose_commits > 0:
            self.lose_commits -= 1
            self.lose_answers = 1
        result = await super().transact(conditions, writes)
        if self.down_after_commit:
            self.down, self.down_after_commit = True, False
        return result


def rows_with(*customers: str, plan: str = "gold") -> Rows:
    found: Rows = {"plan/gold": {}, "plan/basic": {}}
    for customer in customers:
        found[f"customer/{customer}"] = {"plan": plan, "contact": ""}
    return found


def make_store() -> tuple[RacingStore, VirtualClock]:
    clock = VirtualClock()
    return RacingStore(clock=clock, rng=Random(1)), clock


def edit_of(rows: Rows, expected: int) -> Edit:
    return Edit(
        lists=lists_from_rows(rows),
        expected=expected,
        edit_id=new_edit_id(),
        author="ana",
        comment="",
    )


def head_of(store: FakeStore) -> Head:
    head = drive(read_head(store))
    assert isinstance(head, Head)
    return head


class RacingOperators(RuleBasedStateMachine):
    """Two operators edit; the oracle is the list of rows that were accepted."""

    @initialize()
    def start(self) -> None:
        self.store, self.clock = make_store()
        self.accepted: list[Rows] = [{}]
        self.view: dict[str, tuple[int, Rows]] = {"ana": (0, {}), "ben": (0, {})}
        self.unknown: dict[str, Rows] = {}
        self.dead: set[str] = set()
        self.daemon = VersionedLists()

    @rule(who=st.sampled_from(["ana", "ben"]))
    def look(self, who: str) -> None:
        head = drive(read_head(self.store))
        if isinstance(head, Head):
            self.adopt_late_edits()
            self.view[who] = (head.revision, self.accepted[head.version])

    @rule(
        who=st.sampled_from(["ana", "ben"]),
        customer=st.sampled_from("abc"),
        plan=st.sampled_from(["gold", "basic", None]),
    )
    def edit(self, who: str, customer: str, plan: str | None) -> None:
        self.submit(who, self.edited(who, customer, plan))

    @rule(customer=st.sampled_from("abc"), plan=st.sampled_from(["gold", "basic"]))
    def race(self, customer: str, plan: str) -> None:
        """ben commits between ana's look at the head and her transaction."""
        inner = edit_of(self.edited("ben", customer, plan), self.view["ben"][0])

        async def ben_commits() -> None:
            result = await commit(self.store, inner, clock=self.clock)
            self.judge(inner, result)

        self.store.before_transact = ben_commits
        self.submit("ana", self.edited("ana", "a", "basic"))
        self.store.before_transact = None

    @rule(back=st.integers(0, 3))
    def undo(self, back: int) -> None:
        self.adopt_late_edits()
        newest = len(self.accepted) - 1
        version = max(1, newest - back)
        plan = drive(plan_undo(self.store, Version(version)))
        if isinstance(plan, UndoPlan):
            edit = Edit(
                lists=plan.lists,
                expected=plan.expected,
                edit_id=new_edit_id(),
                author="ana",
            )
            self.adopt_late_edits()
            if len(self.accepted) - 1 == newest == version:
                assert plan.lists.rows_by_key == self.accepted[version - 1]
            self.judge(edit, drive(commit(self.store, edit, clock=self.clock)))
        elif isinstance(plan, UndoBlocked):
            assert version < plan.newest
            assert plan.keys

    @rule(
        lost=st.sampled_from([0, 0, 1, 3]),
        lost_commits=st.integers(0, 2),
        late=st.integers(0, 2),
        delay=st.floats(0.1, 40),
    )
    def break_writes(
        self, lost: int, lost_commits: int, late: int, delay: float
    ) -> None:
        self.store.lose_answers, self.store.delay_effects = lost, late
        self.store.lose_commits = lost_commits
        self.store.effect_delay = delay

    @rule(down=st.sampled_from([True, False, False]), soon=st.booleans())
    def outage(self, down: bool, soon: bool) -> None:
        self.store.down, self.store.down_after_commit = down, soon

    @rule(seconds=st.floats(0, 60))
    def wait(self, seconds: float) -> None:
        self.clock.advance(seconds)
        self.store.settle()

    @precondition(lambda self: self.unknown)
    @rule()
    def heal(self) -> None:
        self.break_writes(0, 0, 0, 1.0)
        self.outage(False, False)
        self.wait(100)
        self.adopt_late_edits()
        # All delayed writes have landed or failed, so the rest can never land.
        self.dead |= self.unknown.keys()
        self.unknown.clear()

    def edited(self, who: str, customer: str, plan: str | None) -> Rows:
        rows = {"plan/gold": {}, "plan/basic": {}, **self.view[who][1]}
        rows.pop(f"customer/{customer}", None)
        if plan is not None:
            rows[f"customer/{customer}"] = {"plan": plan, "contact": ""}
        return rows

    def submit(self, who: str, rows: Rows) -> None:
        edit = edit_of(rows, self.view[who][0])
        self.judge(edit, drive(commit(self.store, edit, clock=self.clock)))

    def judge(self, edit: Edit, result: Any) -> None:
        rows = dict(edit.lists.rows_by_key)
        if isinstance(result, OutcomeUnknown):
            self.unknown[edit.edit_id] = rows
            self.adopt_late_edits()
            return
        if isinstance(result, Accepted):
            # Until here the edit may count as unknown, in the order of the store.
            self.unknown[edit.edit_id] = rows
            self.adopt_late_edits()
            assert edit.edit_id not in self.unknown
            assert self.accepted[result.version] == rows
            return
        self.dead.add(edit.edit_id)
        self.adopt_late_edits()
        if isinstance(result, EditConflict) and result.theirs and result.head:
            assert result.base is not None
            old = lists_from_rows(self.accepted[result.base])
            newest = lists_from_rows(self.accepted[result.head.version])
            assert result.theirs == diff(old, newest)
            assert result.mine == diff(old, edit.lists)
            assert result.head.revision != edit.expected
        else:
            assert isinstance(result, EditConflict | NotWritten | Unchanged | Rejected)

    def adopt_late_edits(self) -> None:
        """Append the versions that the store has and the oracle lacks."""
        while stored := self.store.row_by_key.get(
            listcodec.version_key(len(self.accepted))
        ):
            row = listcodec.decode_version(stored.value)
            self.accepted.append(self.unknown.pop(row.head.edit_id))

    @invariant()
    def history_is_sound(self) -> None:
        self.adopt_late_edits()
        keys = sorted(key for key in self.store.row_by_key if "version/" in key)
        numbers = range(1, len(self.accepted))
        assert keys == [listcodec.version_key(number) for number in numbers]
        rows = [
            listcodec.decode_version(self.store.row_by_key[key].value) for key in keys
        ]
        ids = [row.head.edit_id for row in rows]
        assert len(set(ids)) == len(ids)
        assert not self.dead.intersection(ids)
        if not rows:
            return
        head = self.store.row_by_key[listcodec.HEAD_KEY]
        assert listcodec.decode_head(head.value) == rows[-1].head
        for row in rows[self.daemon.version :]:
            delta = listcodec.decode_delta(self.store.object_by_name[row.head.delta])
            assert isinstance(self.daemon.apply_delta(delta), AppliedVersion)
            assert self.daemon.lists.rows_by_key == self.accepted[row.head.version]
            data = self.store.object_by_name[row.head.snapshot]
            assert listcodec.decode_snapshot(data) == self.daemon.snapshot()


RacingOperators.TestCase.settings = settings(
    max_examples=150, stateful_step_count=40, deadline=None, derandomize=True
)
TestRacingOperators = RacingOperators.TestCase


def test_write_that_lands_after_the_first_read_back_is_found() -> None:
    """Guards against a commit reported as failed that lands a moment later."""
    store, clock = make_store()
    store.delay_effects, store.effect_delay = 1, 2.1
    # Puts of objects are not delayed; the transaction times out after 2 s.
    result = drive(commit(store, edit_of(rows_with("a"), 0), clock=clock))
    assert isinstance(result, Accepted)
    assert store.count_by_operation["read"] > 2
    assert store.count_by_operation["transact"] == 1


def test_fenced_write_never_lands() -> None:
    """Guards against a late write behind the back of an operator told 'not written'."""
    store, clock = make_store()
    store.delay_effects, store.effect_delay = 1, 60.0
    edit = edit_of(rows_with("a"), 0)
    assert isinstance(drive(commit(store, edit, clock=clock)), NotWritten)
    clock.advance(100)
    store.settle()
    assert head_of(store).version == 0
    assert drive(commit(store, edit_of(rows_with("b"), 0), clock=clock)).version == 1


def test_outage_after_the_transaction_is_reported_as_unknown() -> None:
    """Guards against a guess where the outcome cannot be read."""
    store, clock = make_store()
    store.lose_commits, store.down_after_commit = 1, True
    edit = edit_of(rows_with("a"), 0)
    assert drive(commit(store, edit, clock=clock)) == OutcomeUnknown(
        edit_id=edit.edit_id
    )
    store.down = False
    # Sending the same files again is safe: the operator sees the own edit.
    again = drive(commit(store, edit_of(rows_with("a"), 0), clock=clock))
    assert isinstance(again, EditConflict)
    assert again.entries[0].row is not None
    assert again.entries[0].row.head.edit_id == edit.edit_id


def test_damaged_head_version_can_be_replaced_and_undone() -> None:
    """Guards against a damaged snapshot that blocks its own repair."""
    store, clock = make_store()
    drive(commit(store, edit_of(rows_with("a"), 0), clock=clock))
    drive(commit(store, edit_of(rows_with("b"), head_of(store).revision), clock=clock))
    row = head_of(store).row
    assert row is not None
    store.object_by_name[row.snapshot] = b"damaged"
    plan = drive(plan_undo(store, Version(2)))
    assert isinstance(plan, UndoPlan)
    edit = edit_of(dict(plan.lists.rows_by_key), plan.expected)
    result = drive(commit(store, edit, clock=clock))
    assert isinstance(result, Accepted)
    assert result.version == 3
    assert plan.lists.rows_by_key == rows_with("a")
    store.row_by_key[listcodec.HEAD_KEY] = store.row_by_key[
        "config/version/" + "0" * 11 + "3"
    ]
    value = store.row_by_key[listcodec.HEAD_KEY].value
    value["digest"] = b"short"
    assert isinstance(drive(read_head(store)), Damaged)
    assert isinstance(drive(commit(store, edit, clock=clock)), Damaged)
    entries = drive(read_history(store))
    assert [entry.row is None for entry in entries] == [True, False, False]


def test_undo_keeps_later_edits_and_refuses_to_take_them_back() -> None:
    """Guards against an undo that silently reverts another operator's edit."""
    store, clock = make_store()
    for rows in (rows_with("a"), rows_with("a", "b"), rows_with("a", "b", "c")):
        drive(commit(store, edit_of(rows, head_of(store).revision), clock=clock))
    plan = drive(plan_undo(store, Version(2)))
    assert isinstance(plan, UndoPlan)
    assert plan.lists.rows_by_key == rows_with("a", "c")
    changed = rows_with("a", "b", "c", plan="basic")
    drive(commit(store, edit_of(changed, head_of(store).revision), clock=clock))
    blocked = drive(plan_undo(store, Version(2)))
    assert isinstance(blocked, UndoBlocked)
    assert blocked.keys == ("customer/b",)


def test_equal_numbers_of_other_types_keep_the_digest_of_the_daemons() -> None:
    """Guards against 50 and 50.0, which are equal and hash differently."""
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
        result = drive(commit(store, edit, clock=clock))
        assert isinstance(result, Accepted)
        delta = listcodec.decode_delta(result.delta_object)
        assert isinstance(daemon.apply_delta(delta), AppliedVersion)
    empty = drive(commit(store, edit_of({}, head_of(store).revision), clock=clock))
    assert isinstance(empty, Rejected)
