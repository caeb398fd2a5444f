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
    """Performs each write at once and responds to the first one a second later."""

    def __init__(self) -> None:
        self.written: list[ConditionalWrite] = []

    async def write(self, table: str, writes: Sequence[ConditionalWrite]) -> WriteDone:
        self.written += writes
        version = at(30 + 10 * len(self.written), era=1)
        if len(self.written) == 1:
            await asyncio.sleep(1)
        return WriteDone(version=version)


def test_record_removed_before_its_acknowledgement_is_written_again() -> None:
    """Guards against a late acknowledgement that hides the removal of the row.

    After a restore the number of the new row may be the one that another daemon names
    to remove the former row.
    """

    async def main() -> None:
        store = SlowStore()
        publisher = RecordPublisher(
            tables=store,  # type: ignore[arg-type]
            table="hosts",
            key="vm-1",
            events=null_event_log(),
            random=Random(1),
        )
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
