"""Tests of publishing a record beside other writers of its row."""

import asyncio
from collections.abc import Sequence
from random import Random

from cassiasail._internal.coordination.mesh.publishing import RecordPublisher
from cassiasail._internal.coordination.mesh.shared_tables import (
    ConditionalWrite,
    WriteDone,
)
from cassiasail._internal.state.table_mirror import StoredRow
from devtools.virtual_loop import VirtualLoop
from tests.lib.events import null_event_log
from tests.lib.store_versions import at


class SlowStore:
    """Performs each write at once and responds to the first one after ``delay``."""

    def __init__(self, delay: float) -> None:
        self._delay = delay
        self.written: list[ConditionalWrite] = []

    async def write(self, table: str, writes: Sequence[ConditionalWrite]) -> WriteDone:
        self.written += writes
        version = at(30 + 10 * len(self.written), era=1)
        if len(self.written) == 1:
            await asyncio.sleep(self._delay)
        return WriteDone(version=version)


def publisher_of(store: SlowStore) -> RecordPublisher:
    return RecordPublisher(
        tables=store,  # type: ignore[arg-type]
        table="hosts",
        key="vm-1",
        events=null_event_log(),
        random=Random(1),
    )


def test_record_removed_before_its_acknowledgement_is_written_again() -> None:
    """Guards against a late acknowledgement that hides the removal of the row.

    After a restore the number of the new row may be the one that another daemon names
    to remove the former row.
    """

    async def main() -> None:
        store = SlowStore(delay=1.0)
        publisher = publisher_of(store)
        publisher.set_wanted(b"record")
        task = asyncio.create_task(publisher.run())
        await asyncio.sleep(0.5)
        row = StoredRow(key="vm-1", value=b"", version=at(45, era=1), deleted=True)
        publisher.observe(row)
        await asyncio.sleep(5)
        task.cancel()
        assert [write.expected for write in store.written] == [None, None]

    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        runner.run(main())


def test_record_removed_before_the_first_copy_is_written_again() -> None:
    """Guards against a record whose removal nobody reports, as no copy had its row."""

    async def main() -> None:
        store = SlowStore(delay=0.0)
        publisher = publisher_of(store)
        publisher.set_wanted(b"record")
        task = asyncio.create_task(publisher.run())
        await asyncio.sleep(1)
        # A copy from before the write says nothing about it.
        publisher.observe_restore(at(39, era=1))
        await asyncio.sleep(1)
        assert len(store.written) == 1
        publisher.observe_restore(at(45, era=1))
        await asyncio.sleep(1)
        task.cancel()
        assert [write.expected for write in store.written] == [None, None]

    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        runner.run(main())
