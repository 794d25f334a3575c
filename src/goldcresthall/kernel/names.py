"""Names under which services register and find each other."""

from __future__ import annotations

from typing import Final

CLOCK: Final = "clock"
METRICS: Final = "metrics"
LOG_CLIENT: Final = "log_client"
LOG_WRITER: Final = "log_writer"
INSTANCE_LIST: Final = "instance_list"
REPLICA: Final = "replica"
SNAPSHOTS: Final = "snapshots"
PEERS: Final = "peers"
PEER_SERVER: Final = "peer_server"
HEAT: Final = "heat"
OWNERSHIP: Final = "ownership"
LESSOR_PROBE: Final = "lessor_probe"
LEASE_COUNTERS: Final = "lease_counters"
PLANNED_MOVES: Final = "planned_moves"
LEASES: Final = "leases"
UPTAKE: Final = "uptake"
PRESETS: Final = "presets"
BACKENDS: Final = "backends"
ROUTER: Final = "router"
CALLERS: Final = "callers"
ADMIN: Final = "admin"
