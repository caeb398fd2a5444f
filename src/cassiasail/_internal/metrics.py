"""Prometheus metrics of the daemon.

Every refusal, retry and drop has a counter with its reason as a label. Other
modules import the metric objects from here; none is defined elsewhere.
"""

from .instruments import Counter, Gauge, Histogram, Registry

REGISTRY = Registry()

INVARIANT_FAILURES = Counter(
    "cassiasail_invariant_failures", "Failed checks.", ["name"], registry=REGISTRY
)
CALLS_ANSWERED = Counter(
    "cassiasail_calls_answered", "Answers passed on.", ["service"], registry=REGISTRY
)
CALLS_REFUSED = Counter(
    "cassiasail_calls_refused",
    "Refusals sent to callers.",
    ["reason", "executed"],
    registry=REGISTRY,
)
CALLS_RETRIED = Counter(
    "cassiasail_calls_retried",
    "Attempts after the first one, by the reason of the failure before.",
    ["reason"],
    registry=REGISTRY,
)
RETRIES_DENIED = Counter(
    "cassiasail_retries_denied",
    "Retries not made, by the rule that denied them.",
    ["reason"],
    registry=REGISTRY,
)
HOST_REFUSED = Counter(
    "cassiasail_host_refused",
    "Refusals by the daemon beside the target.",
    ["reason"],
    registry=REGISTRY,
)
FRAMES_DROPPED = Counter(
    "cassiasail_frames_dropped",
    "Call frames dropped, by reason.",
    ["reason"],
    registry=REGISTRY,
)
MESSAGES_REFUSED = Counter(
    "cassiasail_messages_refused",
    "Malformed or oversized peer messages, by reason.",
    ["reason"],
    registry=REGISTRY,
)
CONTROL_BYTES = Counter(
    "cassiasail_control_bytes",
    "Control bytes, by direction and whether they cross regions.",
    ["direction", "scope"],
    registry=REGISTRY,
)
CALL_BYTES = Counter(
    "cassiasail_call_bytes",
    "Bytes of call frames, by direction and whether they cross regions.",
    ["direction", "scope"],
    registry=REGISTRY,
)
VERSION = Gauge(
    "cassiasail_version", "Configuration version in force.", registry=REGISTRY
)
VERSIONS_REFUSED = Counter(
    "cassiasail_versions_refused",
    "Versions refused or dropped, by reason.",
    ["reason"],
    registry=REGISTRY,
)
STORE_REQUESTS = Counter(
    "cassiasail_store_requests",
    "Requests to the platform, by operation and outcome.",
    ["operation", "outcome"],
    registry=REGISTRY,
)
MEMBERS = Gauge(
    "cassiasail_members", "Members known, by state.", ["state"], registry=REGISTRY
)
CALL_SECONDS = Histogram(
    "cassiasail_call_seconds",
    "Time from the grant of its allowance to the end of a call.",
    ["service"],
    registry=REGISTRY,
    buckets=(0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10),
)
QUOTA_ASKS = Counter(
    "cassiasail_quota_asks",
    "Asks for allowance tokens, by role of the sender and outcome.",
    ["role", "outcome"],
    registry=REGISTRY,
)
QUOTA_SHARDS = Gauge(
    "cassiasail_quota_shards", "Quota shards owned by this daemon.", registry=REGISTRY
)
TARGET_DEATHS = Counter(
    "cassiasail_target_deaths",
    "Deaths of target processes with calls in flight, by where they were seen.",
    ["seen"],
    registry=REGISTRY,
)
FINGERPRINTS_QUARANTINED = Counter(
    "cassiasail_fingerprints_quarantined",
    "Requests quarantined because targets died while running them.",
    registry=REGISTRY,
)
CLAIMS = Counter(
    "cassiasail_claims",
    "Claims of idempotency keys, by what became of them.",
    ["outcome"],
    registry=REGISTRY,
)
TARGETS_EJECTED = Counter(
    "cassiasail_targets_ejected",
    "Ejections of outlier targets, by what was measured.",
    ["reason"],
    registry=REGISTRY,
)
TARGETS_CHOSEN = Counter(
    "cassiasail_targets_chosen",
    "Choices of a target, by where it is and whether nearer ones were saturated.",
    ["place"],
    registry=REGISTRY,
)

_LATENCY_BUCKETS = (0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3, 6, 12, 25)
MESH_REQUESTS = Counter(
    "cassiasail_mesh_requests",
    "Requests of the clients of this VM, by service, final answer and reason.",
    ["service", "outcome", "reason"],
    registry=REGISTRY,
)
MESH_REQUEST_SECONDS = Histogram(
    "cassiasail_mesh_request_seconds",
    "Time from the first byte of a request to its final answer.",
    ["service"],
    registry=REGISTRY,
    buckets=_LATENCY_BUCKETS,
)
MESH_TRIES = Counter(
    "cassiasail_mesh_tries",
    "Daemons asked to run a request, by service, outcome and reason.",
    ["service", "outcome", "reason"],
    registry=REGISTRY,
)
MESH_TRY_SECONDS = Histogram(
    "cassiasail_mesh_try_seconds",
    "Time that the target beside this daemon took for a request.",
    ["service"],
    registry=REGISTRY,
    buckets=_LATENCY_BUCKETS,
)
MESH_TARGET_SLOTS = Gauge(
    "cassiasail_mesh_target_slots",
    "Slots of the target beside this daemon, and requests that hold or await one.",
    ["use"],
    registry=REGISTRY,
)
MESH_TABLE_AGE = Gauge(
    "cassiasail_mesh_table_age_seconds",
    "Time since the store confirmed what this daemon knows, by table.",
    ["table"],
    registry=REGISTRY,
)
MESH_HOSTS = Gauge(
    "cassiasail_mesh_hosts",
    "VMs known, by the state of their target.",
    ["state"],
    registry=REGISTRY,
)
MESH_RETRY_BUDGET = Gauge(
    "cassiasail_mesh_retry_budget",
    "Repeats that this daemon may send now, by service.",
    ["service"],
    registry=REGISTRY,
)
LOG_LINES_LEFT_OUT = Counter(
    "cassiasail_log_lines_left_out",
    "Log lines not written, by the reason: the rate of their event, or a full pipe.",
    ["reason"],
    registry=REGISTRY,
)
