"""Headers, paths, topics and variables that the platform defines."""

from __future__ import annotations

from typing import Final

SETTINGS_VARIABLE: Final = "GOLDCRESTHALL_CONFIG"

REQUEST_ID: Final = "goldcresthall-request-id"
DEADLINE: Final = "goldcresthall-request-deadline"
SIGNATURE: Final = "goldcresthall-response-signature"
TARGET_INSTANCE: Final = "goldcresthall-target-instance"
SERVER_LOAD: Final = "goldcresthall-server-load"
NOT_EXECUTED: Final = "goldcresthall-not-executed"
SERVER_LEAVING: Final = "server-leaving"
SHARD_KEY: Final = "goldcresthall-shard-key"
LEASE_HANDOVER: Final = "goldcresthall-lease-handover"
STORE_ERA: Final = "store-era"

READY_PATH: Final = "/api/readyz"
GRANT_PATH: Final = "/api/grant"
RELEASE_PATH: Final = "/api/release"
APPEND_PATH: Final = "/api/log-append"
READ_PATH: Final = "/api/log-read"
NEWEST_PATH: Final = "/api/log-newest"

CONFIGURATION_TOPIC: Final = "keyed.op"
CONFIGURATION_KEY: Final = "config"
EVACUATION_KEY_PREFIX: Final = "evacuate/"
SERVERS_TOPIC: Final = "keyed.servers"
