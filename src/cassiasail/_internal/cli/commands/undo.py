"""``cassiasail undo``: reverts the changes of one version in a new version."""

from ...coordination.history import Damaged
from ...coordination.store import StoreFailure
from ...coordination.undo import NoSuchVersion, UndoBlocked, plan_undo
from ...ids import Version
from ..committing import commit_lists
from ..exit_codes import ExitCode
from ..invocation import Invocation, parse_whole_number
from ..session import Session, unknown_version_error


def run(version: str, *, comment: str = "", author: str = "") -> Invocation:
    """Revert the changes of one version in a new, higher version.

    Changes of later versions to other rows stay.

    Args:
        version: the version to revert
        comment: shown in the history
        author: shown in the history, by default the name of the user
    """
    undone = Version(parse_whole_number("VERSION", version))

    async def action(session: Session) -> ExitCode:
        plan = await plan_undo(session.store, undone)
        if isinstance(plan, Damaged | StoreFailure):
            raise session.store_error(plan)
        if isinstance(plan, NoSuchVersion):
            raise unknown_version_error(plan.version)
        if isinstance(plan, UndoBlocked):
            return _print_blocked(session, undone, plan)
        return await commit_lists(
            session,
            plan.lists,
            expected=plan.expected_revision,
            author=author,
            comment=comment or f"undo of version {undone}",
            retry_hint=f"cassiasail undo {undone}",
        )

    return Invocation(action=action)


def _print_blocked(session: Session, undone: Version, plan: UndoBlocked) -> ExitCode:
    """Print the rows that later versions changed too; nothing is committed."""
    lines = [
        f"conflict: versions after {undone} changed the same rows; nothing written",
        *(f"  {key}" for key in plan.keys),
        f"undo the later versions first (newest is {plan.newest}), or correct the "
        "rows with 'cassiasail edit'",
    ]
    data = {"committed": False, "blocked_by": list(plan.keys), "newest": plan.newest}
    session.output.print_result(data, lines)
    return ExitCode.CONFLICT
