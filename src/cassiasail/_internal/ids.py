"""Identifier types shared by all layers."""

from typing import NewType

CustomerId = NewType("CustomerId", str)
PlanId = NewType("PlanId", str)
ServiceName = NewType("ServiceName", str)
# A client account of the sidecars' configuration; its keys identify its requests.
AccountName = NewType("AccountName", str)
RoutePath = NewType("RoutePath", str)
DaemonId = NewType("DaemonId", str)
TargetId = NewType("TargetId", str)
DataCentre = NewType("DataCentre", str)
Region = NewType("Region", str)
Version = NewType("Version", int)
EditId = NewType("EditId", str)
# Identifies one start of the process of a sidecar daemon.
DaemonStart = NewType("DaemonStart", str)

# Version of a daemon that has not received a configuration yet.
NO_VERSION = Version(0)
