"""Quotas of client accounts on virtual time: overshoot, unused share, calls and bytes.

One account sends 3.75 times its quota through a quarter of the daemons, 20 accounts
send 0.6 times theirs. ``over`` is the most that a window of 5 s admits as a share of
the operator's bound, ``unused`` what one bucket would have admitted besides.

    python -m devtools.bench_account_quotas --daemons 70 --seconds 10
"""

import argparse

from cassiasail._internal.ids import AccountName
from cassiasail._internal.state.client_accounts import AccountQuota

from .quota_model import Demand, QuotaModel
from .virtual_loop import VirtualLoop

WINDOW_SECONDS = 5.0
HOT = AccountName("hot")
HOT_LOAD, USUAL_LOAD = 3.75, 0.6


async def measure(daemons: int, seconds: float, seed: int) -> str:
    """Return one line of figures."""
    # The load of a daemon does not depend on the size of the fleet.
    scale = daemons / 70
    quota_by_account = {HOT: AccountQuota(rate=325 * scale, burst=325 * scale)}
    for number in range(20):
        rate = scale * 160 / (number + 1)
        name = AccountName(f"usual-{number}")
        quota_by_account[name] = AccountQuota(rate=rate, burst=rate)
    model = QuotaModel(count=daemons, quota_by_account=quota_by_account, seed=seed)
    demands = [
        Demand(account=name, rate=USUAL_LOAD * quota.rate)
        for name, quota in quota_by_account.items()
        if name != HOT
    ]
    hot_rate = HOT_LOAD * quota_by_account[HOT].rate
    await model.run(
        seconds, [*demands, Demand(account=HOT, rate=hot_rate, last=daemons // 4)]
    )
    over = max(
        model.most_in_window(name, WINDOW_SECONDS)
        / ((quota.rate * min(seconds, WINDOW_SECONDS) + quota.burst) * 1.1 + 20)
        for name, quota in quota_by_account.items()
    )
    possible = sum(model.admitted_by_one_bucket(name) for name in quota_by_account)
    admitted = sum(len(model.admitted_at[name]) for name in quota_by_account)
    asked = sum(len(model.asked_at[name]) for name in quota_by_account)
    per_daemon = daemons * seconds
    return (
        f"daemons {daemons}: over {over:.2f} unused {1 - admitted / possible:.4f} "
        f"requests/s {asked / seconds:.0f} calls a daemon and second "
        f"{model.calls / per_daemon:.2f} bytes {model.bytes / per_daemon:.0f}"
    )


def main() -> None:
    """Print the figures of one run."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--daemons", type=int, default=70)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    loop = VirtualLoop()
    print(
        loop.run_until_complete(measure(options.daemons, options.seconds, options.seed))
    )


if __name__ == "__main__":
    main()
