"""Decoding of the operator's configuration and of the settings file."""

import json
from typing import Any

import pytest

from cassiasail._internal.state.mesh_config import (
    ConfigRejected,
    MeshConfig,
    RetrySafety,
)
from cassiasail.exceptions import SettingsError
from cassiasail.platform.configuration import decode_configuration
from cassiasail.platform.settings import decode_settings

DOCUMENT: dict[str, Any] = {
    "version": "0000001f",
    "routes": {
        "a": {
            "hostname": "Jepu9.example",
            "prefix": "/lepu270/",
            "kind": "safe",
            "timeoutMs": 1500,
            "sloMs": 600,
            "priority": 2,
            "trafficSplit": [
                {"service": "one", "weight": 90},
                {"service": "two", "weight": 10},
            ],
            "maxAttempts": 2,
        },
        "b": {
            "hostname": "h",
            "prefix": "/x/",
            "kind": "unsafe",
            "timeoutMs": 1200,
            "sloMs": 800,
            "priority": 1,
            "service": "one",
            "maxAttempts": 1,
        },
    },
    "services": {
        "one": {"healthCheck": "/healthz", "maxConnections": 130},
        "two": {"healthCheck": "/healthz", "maxConnections": 130},
    },
    "limits": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 67108864,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    },
}


def decode(document: Any) -> MeshConfig | ConfigRejected:
    return decode_configuration(json.dumps(document).encode())


def test_configuration_is_decoded_with_its_units() -> None:
    """Guards the fields of routes and limits and the conversion to seconds."""
    config = decode(DOCUMENT)
    assert isinstance(config, MeshConfig)
    assert config.version == 31
    route = config.match("jepu9.example", "/lepu270/2f")
    assert route is not None
    assert (route.timeout, route.latency_objective, route.priority) == (1.5, 0.6, 2)
    assert [part.weight for part in route.split] == [90, 10]
    unsafe = config.match("h", "/x/y")
    assert unsafe is not None
    assert unsafe.retry_safety is RetrySafety.UNSAFE
    assert config.limits.header_seconds == 3


@pytest.mark.parametrize(
    ("path", "value"),
    [
        ("version", 12),
        ("version", "xyz"),
        ("routes", []),
        ("routes/a/kind", 5),
        ("routes/a/kind", None),
        ("routes/a/timeoutMs", 0),
        ("routes/a/timeoutMs", "soon"),
        ("routes/a/sloMs", -5),
        ("routes/a/maxAttempts", 0),
        ("routes/a/trafficSplit", []),
        ("routes/a/trafficSplit", {"one": 1}),
        ("routes/a/prefix", "no-slash"),
        ("routes/b/service", "unknown"),
        ("services", None),
        ("services/one", "x"),
        ("limits", 5),
        ("limits/idleTimeoutMs", None),
    ],
)
def test_malformed_configuration_is_rejected_as_a_whole(path: str, value: Any) -> None:
    """Guards against a malformed version that is applied in part."""
    document = json.loads(json.dumps(DOCUMENT))
    *outer, name = path.split("/")
    table = document
    for table_name in outer:
        table = table[table_name]
    table[name] = value
    assert isinstance(decode(document), ConfigRejected)


@pytest.mark.parametrize(
    ("kind", "unknown_kind"), [("upload", None), ("often", "often")]
)
def test_uploads_and_unknown_kinds_are_never_repeated(
    kind: str, unknown_kind: str | None
) -> None:
    """Guards against a kind of a newer platform that takes the fleet down.

    A rejected configuration leaves a daemon that starts without any route.
    """
    document = json.loads(json.dumps(DOCUMENT))
    document["routes"]["b"]["kind"] = kind
    config = decode(document)
    assert isinstance(config, MeshConfig)
    route = config.match("h", "/x/y")
    assert route is not None
    assert route.retry_safety is RetrySafety.UNSAFE
    assert route.unknown_kind == unknown_kind


def test_truncated_configuration_is_rejected() -> None:
    """Guards against applying a configuration that was stored incompletely."""
    data = json.dumps(DOCUMENT).encode()
    assert isinstance(decode_configuration(data[:-20]), ConfigRejected)
    assert isinstance(decode_configuration(b"\xff\xfe"), ConfigRejected)


SETTINGS = """
[self]
node = "vm"
bindIp = "10.1.0.8"
zone = "dc"
region = "r"
appAddr = "10.1.0.8:8301"
service = "s"
newField = 1
[self.limits]
linkMbps = 3.5
[network.listenAddrs]
inbound = "10.1.0.8:8300"
outbound = "10.1.0.8:8304"
readiness = "10.1.0.8:8302"
admin = "10.1.0.8:8306"
[platform]
heartbeatMs = 1500
[platform.platform]
address = "10.200.1.7:8309"
[terms.bounds]
drainMs = 2000
graceS = 6
configApplyMs = 2000
retryBudgetRatio = 0.2
budgetSlack = 62
budgetWindowS = 10
"""


def test_settings_are_decoded() -> None:
    """Guards the fields of the settings file; unknown fields are ignored."""
    settings = decode_settings(SETTINGS.encode())
    assert str(settings.clients_address) == "10.1.0.8:8304"
    assert settings.heartbeat_interval_seconds == 1.5
    assert settings.link_mbps == 3.5


@pytest.mark.parametrize(
    ("old", "new", "fault"),
    [
        ('outbound = "10.1.0.8:8304"', "", "network.listenAddrs.outbound"),
        ("drainMs = 2000", 'drainMs = "x"', "terms.bounds.drainMs"),
        ('"10.200.1.7:8309"', '"store.example"', "platform.platform.address"),
        ("[self]", "[self", "TOML"),
    ],
)
def test_faults_of_settings_are_reported(old: str, new: str, fault: str) -> None:
    """Guards against a daemon that starts with incomplete settings."""
    with pytest.raises(SettingsError, match=fault):
        decode_settings(SETTINGS.replace(old, new).encode())
