"""Prometheus metrics of ``cassiasaild`` and of the sidecar.

Refusals, retries and drops are counted by reason, which is a label. All metrics are
defined here and other modules import them.
"""

from .instruments import Counter, Gauge, Histogram, Registry

REGISTRY = Registry()

INVARIANT_FAILURES = Counter(
    "cassiasail_invariant_failures",
    "Violated invariants, by name.",
    ["name"],
    registry=REGISTRY,
)
CALLS_ANSWERED = Counter(
    "cassiasail_calls_answered",
    "Responses of targets sent to callers, by service.",
    ["service"],
    registry=REGISTRY,
)
CALLS_REFUSED = Counter(
    "cassiasail_calls_refused",
    "Refusals sent to callers, by reason and whether the call was executed.",
    ["reason", "executed"],
    registry=REGISTRY,
)
CALLS_RETRIED = Counter(
    "cassiasail_calls_retried",
    "Retries, by the reason of the refusal before each.",
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
    "Refusals by this daemon as the host daemon, by reason.",
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
    "Messages from other daemons refused as malformed or too large, by reason.",
    ["reason"],
    registry=REGISTRY,
)
CONTROL_BYTES = Counter(
    "cassiasail_control_bytes",
    "Bytes of control messages, by direction and whether they cross regions.",
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
    "Configuration versions refused or dropped, by reason.",
    ["reason"],
    registry=REGISTRY,
)
STORE_REQUESTS = Counter(
    "cassiasail_store_requests",
    "Requests to the platform's store, by operation and outcome.",
    ["operation", "outcome"],
    registry=REGISTRY,
)
MEMBERS = Gauge(
    "cassiasail_members",
    "Members in this daemon's member table, by state.",
    ["state"],
    registry=REGISTRY,
)
CALL_SECONDS = Histogram(
    "cassiasail_call_seconds",
    "Time from the grant of allowance tokens to the end of the call, by service.",
    ["service"],
    registry=REGISTRY,
    buckets=(0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10),
)
QUOTA_ASKS = Counter(
    "cassiasail_quota_asks",
    "Token requests for allowances, by role of the sender and outcome.",
    ["role", "outcome"],
    registry=REGISTRY,
)
QUOTA_SHARDS = Gauge(
    "cassiasail_quota_shards", "Quota shards owned by this daemon.", registry=REGISTRY
)
TARGET_DEATHS = Counter(
    "cassiasail_target_deaths",
    "Crashes of target processes with calls in flight, by where they were detected.",
    ["seen"],
    registry=REGISTRY,
)
FINGERPRINTS_QUARANTINED = Counter(
    "cassiasail_fingerprints_quarantined",
    "Fingerprints quarantined because targets crashed while executing their calls.",
    registry=REGISTRY,
)
CLAIMS = Counter(
    "cassiasail_claims",
    "Claims of idempotency keys, by outcome.",
    ["outcome"],
    registry=REGISTRY,
)
TARGETS_EJECTED = Counter(
    "cassiasail_targets_ejected",
    "Ejections of outlier targets, by the measurement that caused them.",
    ["reason"],
    registry=REGISTRY,
)
TARGETS_CHOSEN = Counter(
    "cassiasail_targets_chosen",
    "Targets chosen, by their place and whether nearer ones were saturated.",
    ["place"],
    registry=REGISTRY,
)

# Upper bounds in seconds.
_LATENCY_BUCKETS = (0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3, 6, 12, 25)
MESH_REQUESTS = Counter(
    "cassiasail_mesh_requests",
    "Requests of the clients of this VM, by service, outcome and reason.",
    ["service", "outcome", "reason"],
    registry=REGISTRY,
)
MESH_REQUEST_SECONDS = Histogram(
    "cassiasail_mesh_request_seconds",
    "Time from the first byte of a request to its final response, by service.",
    ["service"],
    registry=REGISTRY,
    buckets=_LATENCY_BUCKETS,
)
MESH_TRIES = Counter(
    "cassiasail_mesh_tries",
    "Attempts to forward a request, by service, outcome and reason.",
    ["service", "outcome", "reason"],
    registry=REGISTRY,
)
MESH_TRY_SECONDS = Histogram(
    "cassiasail_mesh_try_seconds",
    "Time that the target beside this daemon took for a request, by service.",
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
MESH_TARGET_LIMIT = Gauge(
    "cassiasail_mesh_target_limit_per_second",
    "Rate of requests that the target beside this daemon names as its limit, or -1.",
    registry=REGISTRY,
)
MESH_TABLE_AGE = Gauge(
    "cassiasail_mesh_table_age_seconds",
    "Time since the store confirmed this daemon's copy of a table, by table.",
    ["table"],
    registry=REGISTRY,
)
MESH_TABLE_ERA = Gauge(
    "cassiasail_mesh_table_era",
    "Era of the store in this daemon's copy of a table, by table.",
    ["table"],
    registry=REGISTRY,
)
MESH_TABLE_VERSION = Gauge(
    "cassiasail_mesh_table_version",
    "Version of this daemon's copy of a table within its era, by table.",
    ["table"],
    registry=REGISTRY,
)
MESH_HOSTS = Gauge(
    "cassiasail_mesh_hosts",
    "VMs in this daemon's tables, by the state of their target.",
    ["state"],
    registry=REGISTRY,
)
MESH_RETRY_BUDGET = Gauge(
    "cassiasail_mesh_retry_budget",
    "Retries that the retry budget of this daemon allows now, by service.",
    ["service"],
    registry=REGISTRY,
)
MESH_UNKNOWN_KIND_ROUTES = Gauge(
    "cassiasail_mesh_unknown_kind_routes",
    "Routes in force whose kind this build does not know; they are unsafe.",
    registry=REGISTRY,
)
MESH_KEYS_REFUSED = Counter(
    "cassiasail_mesh_keys_refused",
    "Requests answered with 401 because their account key was missing or unknown.",
    ["reason"],
    registry=REGISTRY,
)
MESH_QUOTA_DECISIONS = Counter(
    "cassiasail_mesh_quota_decisions",
    "Requests of accounts with a quota, by how their token was found or refused.",
    ["decision"],
    registry=REGISTRY,
)
MESH_TOKEN_CALLS = Counter(
    "cassiasail_mesh_token_calls",
    "Calls to other daemons for tokens of accounts.",
    registry=REGISTRY,
)
MESH_CLIENTS_DROPPED = Counter(
    "cassiasail_mesh_clients_dropped",
    "Connections of clients that were closed because of a limit, by reason.",
    ["reason"],
    registry=REGISTRY,
)
ACCEPTS_FAILED = Counter(
    "cassiasail_accepts_failed",
    "Connections that could not be accepted at once for lack of descriptors.",
    registry=REGISTRY,
)
MESH_CLIENTS_REFUSED = Counter(
    "cassiasail_mesh_clients_refused",
    "Requests on connections beyond the limit, each refused with 503 and closed.",
    registry=REGISTRY,
)
MESH_RESPONSES_SHED = Counter(
    "cassiasail_mesh_responses_shed",
    "Responses behind an unanswered request that were dropped for lack of memory.",
    registry=REGISTRY,
)
MESH_CONNECTIONS_REFUSED = Counter(
    "cassiasail_mesh_connections_refused",
    "Requests to hosts or targets without a free connection, by where to.",
    ["use"],
    registry=REGISTRY,
)
MESH_LINK_REFUSALS = Counter(
    "cassiasail_mesh_link_refusals",
    "Requests refused because the link would carry their response too late.",
    registry=REGISTRY,
)
MESH_HANGUPS_WHILE_PAUSED = Counter(
    "cassiasail_mesh_hangups_while_paused",
    "Connections that were closed by the client while their reading was paused.",
    registry=REGISTRY,
)
MESH_RESPONSES_DROPPED = Counter(
    "cassiasail_mesh_responses_dropped",
    "Responses that were given to no request, by the reason.",
    ["reason"],
    registry=REGISTRY,
)
MESH_ENTRIES_REFUSED = Counter(
    "cassiasail_mesh_entries_refused",
    "Entries of other writers that were refused and not used, by their source.",
    ["source"],
    registry=REGISTRY,
)
MESH_BODIES_REFUSED = Counter(
    "cassiasail_mesh_bodies_refused",
    "Requests refused because the bodies of others fill the memory for them.",
    registry=REGISTRY,
)
MESH_REQUESTS_TIMED_OUT = Counter(
    "cassiasail_mesh_requests_timed_out",
    "Requests rejected with 408 because their header or body was late, by that part.",
    ["part"],
    registry=REGISTRY,
)
LOG_LINES_LEFT_OUT = Counter(
    "cassiasail_log_lines_left_out",
    "Log lines not written, by reason: the rate limit of their event or a full pipe.",
    ["reason"],
    registry=REGISTRY,
)
