"""Valid texts of ``plans.ini`` and ``customers.ini``, shared by several tests."""

PLANS = """\
[service array-ctl]

[route array-ctl /setpoints]
class = order
deadline = 2s
idempotent = no
idempotency_key = required

[service tide-svc]

[route tide-svc /]
class = bulk

[plan gold]

[allowance gold array-ctl /setpoints]
rate = 50
burst = 100
in_flight = 20
max_body = 64KiB

[allowance gold tide-svc /]
rate = 0.5
burst = 2
in_flight = 1
"""

CUSTOMERS = """\
[customer desk]
plan = gold
contact = Dispatch desk, ext. 12
"""
