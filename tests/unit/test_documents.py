"""The reference pages list every setting, metric and refusal of the code."""

import re
from collections.abc import Iterator
from pathlib import Path

import pytest
from prometheus_client import Histogram

from cassiasail._internal import metrics, settings
from cassiasail._internal.coordination.retries import DeniedReason
from cassiasail._internal.coordination.store import StoreFailureReason
from cassiasail._internal.protocol.problems import status_of
from cassiasail._internal.state.refusals import Executed, Refusal, RefusalReason
from cassiasail._internal.state.versions import VersionRefusal

DOCS = Path(__file__).parents[2] / "docs"


def section_rows(page: str, title: str) -> Iterator[list[str]]:
    """Yield the cells of the table rows under the heading ``title``."""
    text = (DOCS / page).read_text()
    heading = re.escape(title)
    section = re.search(rf"^##+ {heading}\n(.*?)(?=^##|\Z)", text, re.M | re.S)
    assert section is not None, f"{page} has no section {title}"
    for line in section[1].splitlines():
        cells = [cell.strip() for cell in line.strip("|").split("|")]
        if line.startswith("| `"):
            yield [cells[0].strip("`"), *cells[1:]]


def test_settings_page_matches_the_schema() -> None:
    """Guards against changed keys, defaults or ranges that the page does not have."""
    for section in {spec.section for spec in settings.SPECS}:
        documented = {
            row[0]: (row[2], row[3])
            for row in section_rows("settings.md", f"`[{section}]`")
        }
        assert documented == {
            spec.key: (_default_text(spec.default), spec.allowed)
            for spec in settings.SPECS
            if spec.section == section
        }


def _default_text(default: str | None) -> str:
    if default is None:
        return "required"
    return f"`{default}`" if default else "empty"


def test_example_settings_are_valid() -> None:
    """Guards against example settings that a daemon refuses to start with."""
    loaded = settings.load(DOCS / "cassiasaild.example.ini")
    assert loaded.data_centre in loaded.fleet_data_centres
    assert loaded.peer_address in loaded.fleet_seeds


def test_metrics_page_matches_the_registry() -> None:
    """Guards against metrics and labels that are not documented."""
    registered = {}
    for metric in vars(metrics).values():
        name = getattr(metric, "_name", "")
        if name.startswith("cassiasail_"):
            suffix = "" if isinstance(metric, Histogram) else _suffix(metric)
            registered[name + suffix] = list(metric._labelnames)
    documented = {
        row[0]: re.findall(r"`(\w+)`", row[1])
        for row in section_rows("metrics.md", "Metrics")
    }
    assert registered
    assert documented == registered


def _suffix(metric: object) -> str:
    return "_total" if type(metric).__name__ == "Counter" else ""


@pytest.mark.parametrize(
    ("title", "reasons"),
    [
        ("Refusals", RefusalReason),
        ("Retries denied", DeniedReason),
        ("Versions refused", VersionRefusal),
        ("Store requests", StoreFailureReason),
    ],
)
def test_every_reason_is_documented(
    title: str,
    reasons: type[RefusalReason]
    | type[DeniedReason]
    | type[VersionRefusal]
    | type[StoreFailureReason],
) -> None:
    """Guards against reasons in metrics and refusals that are not documented."""
    rows = list(section_rows("metrics.md", title))
    assert sorted(row[0] for row in rows) == sorted(reason.value for reason in reasons)
    assert all(cell for row in rows for cell in row[1:])


def test_refusals_are_listed_with_their_status() -> None:
    """Guards against a documented HTTP status that differs from the one sent."""
    documented = {row[0]: row[1] for row in section_rows("metrics.md", "Refusals")}
    for reason in RefusalReason:
        status = status_of(Refusal(reason=reason, executed=Executed.NO))
        assert documented[reason.value] == str(status), reason
