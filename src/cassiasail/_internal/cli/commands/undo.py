"""``cassiasail undo``: one version taken back by a new one."""

from ...coordination.history import Damaged
from ...coordination.store import StoreFailure
from ...coordination.undo import NoSuchVersion, UndoBlocked, plan_undo
from ...ids import Version
from ..committing import commit_lists
from ..exit_codes import ExitCode
from ..invocation import Invocation, parse_whole
from ..session import Session, no_version


def run(version: str, *, comment: str = "", author: str = "") -> Invocation:
    """Take back what one version changed, as a new and higher version.

    What later versions changed in other rows stays.

    Args:
        version: the version to take back
        comment: shown in the history
        author: shown in the history, by default the name of the user
    """
    number = Version(parse_whole("VERSION", version))

    async def action(session: Session) -> ExitCode:
        plan = await plan_undo(session.store, number)
        if isinstance(plan, Damaged | StoreFailure):
            raise session.error_of(plan)
        if isinstance(plan, NoSuchVersion):
            raise no_version(plan.version)
        if isinstance(plan, UndoBlocked):
            return _blocked(session, number, plan)
        return await commit_lists(
            session,
            plan.lists,
            expected=plan.expected_revision,
            author=author,
            comment=comment or f"undo of version {number}",
            retry_hint=f"cassiasail undo {number}",
        )

    return Invocation(action=action)


def _blocked(session: Session, number: Version, plan: UndoBlocked) -> ExitCode:
    lines = [
        f"conflict: versions after {number} changed the same rows; nothing written",
        *(f"  {key}" for key in plan.keys),
        f"undo the later versions first (newest is {plan.newest}), or correct the "
        "rows with 'cassiasail edit'",
    ]
    data = {"committed": False, "blocked_by": list(plan.keys), "newest": plan.newest}
    session.output.result(data, lines)
    return ExitCode.CONFLICT
