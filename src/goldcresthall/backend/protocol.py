"""Paths, headers and values of the HTTP protocol between routers and backend servers."""

from __future__ import annotations

from typing import Final

HEALTH_PATH: Final = "/goldcresthall/health"
LEASE_PATH: Final = "/goldcresthall/lease"

REQUEST_ID_HEADER: Final = "Goldcresthall-Request-Id"
PARTITION_HEADER: Final = "Goldcresthall-Partition"
EPOCH_HEADER: Final = "Goldcresthall-Epoch"
DEADLINE_HEADER: Final = "Goldcresthall-Deadline-Ms"
NOT_RUN_HEADER: Final = "Goldcresthall-Not-Run"
DRAINING_HEADER: Final = "Goldcresthall-Draining"
LOAD_HEADER: Final = "Goldcresthall-Load"

NOT_RUN_NOT_OWNER: Final = "not_owner"
NOT_RUN_SHED: Final = "shed"
NOT_RUN_DRAINING: Final = "draining"
