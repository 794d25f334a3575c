"""Names under which services register and find each other."""

from __future__ import annotations

from typing import Final

CLOCK: Final = "clock"
METRICS: Final = "metrics"
LOG_CLIENT: Final = "log_client"
LOG_WRITER: Final = "log_writer"
INSTANCE_LIST: Final = "instance_list"
REPLICA: Final = "replica"
PEERS: Final = "peers"
PEER_SERVER: Final = "peer_server"
OWNERSHIP: Final = "ownership"
LEASES: Final = "leases"
PRESETS: Final = "presets"
BACKENDS: Final = "backends"
OBSERVATIONS: Final = "observations"
ADMISSION: Final = "admission"
PROBES: Final = "probes"
ROUTER: Final = "router"
CALLERS: Final = "callers"
ADMIN: Final = "admin"
