"""Notices that daemons flood to each other."""

from random import Random
from types import SimpleNamespace

from cassiasail._internal.coordination.notices import MAX_NOTICES, Notices
from tests.lib.clocks import VirtualClock


def test_notice_of_this_daemon_is_sent_also_if_too_many_are_stored() -> None:
    """Guards against a KeyError that ends the daemon's decision to quarantine."""
    clock = VirtualClock()
    sent: list[bytes] = []
    links = SimpleNamespace(
        clock=clock,
        rng=Random(1),
        identified=lambda: iter(["peer"]),
        send=lambda link, notice: sent.append(notice.payload),
    )
    notices = Notices(
        links=links,  # type: ignore[arg-type]
        on_notice=lambda kind, payload, seconds: None,
    )
    for number in range(MAX_NOTICES):
        notices.publish(kind="k", payload=b"%d" % number, ttl=100 + number)
    notices.publish(kind="k", payload=b"last", ttl=50)
    assert sent[-1] == b"last"
    sent.clear()
    notices.send_all("peer")  # type: ignore[arg-type]
    assert len(sent) == MAX_NOTICES
    assert b"0" not in sent
