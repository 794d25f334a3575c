"""Crowds of hostile callers: the process lives within its limits and goes on serving.

Such callers drove a process out of memory. Only what does not depend on speed is checked: the
process lives, its memory and descriptors stay under a bound that follows from its settings, and
an ordinary request is answered while the crowd's connections are still open.
"""

from __future__ import annotations

import contextlib
import http.client
import time
from typing import TYPE_CHECKING

import pytest

from tests.features import deployment_system
from tests.processes import crowds

if TYPE_CHECKING:
    import pathlib
    from collections.abc import Callable
    from collections.abc import Iterator

LIMITS = deployment_system.Limits(memory_mb=64, max_fds=256, max_body_bytes=4_194_304)
BYTES_PER_MB = 1_000_000
# The most that a crowd may add to the memory of the idle process.
MEMORY_SHARE = 1 / 2
ORDINARY_TIMEOUT_S = 60.0
LARGE_RESPONSE_BYTES = 500_000

POST_HEAD = b"POST /agenda/visit HTTP/1.1\r\nHost: shop.example\r\nGoldcresthall-Request-Id: c\r\n"
GET_REQUEST = (
    b"GET /ledger/page HTTP/1.1\r\nHost: shop.example\r\nGoldcresthall-Request-Id: c\r\n"
    b"Goldcresthall-Shard-Key: 1\r\n\r\n"
)
LARGE_REQUEST = (
    b"GET /agenda/page HTTP/1.1\r\nHost: shop.example\r\nGoldcresthall-Request-Id: c\r\n\r\n"
)
BLOCK = bytes(65_536)
# Within the limit on a head, but each field becomes several objects.
MANY_FIELDS = b"".join(b"x%d:\r\n" % (number % 10) for number in range(2_600))

CROWDS = {
    "large-chunks-without-end": [
        *[crowds.Member(crowds.send_chunks(POST_HEAD, 32_768, 4))] * 600,
        *[crowds.Member(crowds.send_chunks(POST_HEAD, 131_072, 31))] * 40,
    ],
    "one-byte-chunks-without-end": [
        *[crowds.Member(crowds.send_chunks(POST_HEAD, 1, 1_900))] * 600,
        *[crowds.Member(crowds.send_chunks(POST_HEAD, 1, 200_000))] * 40,
    ],
    "bodies-far-over-the-limit": [
        *[
            crowds.Member(
                crowds.repeat_piece(
                    POST_HEAD + b"Content-Length: 10000000000\r\n\r\n", BLOCK, 1_000
                )
            )
        ]
        * 60,
        *[crowds.Member(crowds.send_chunks(POST_HEAD, 65_536, 1_000))] * 60,
    ],
    "heads-and-pipelining-without-end": [
        *[crowds.Member(crowds.repeat_piece(POST_HEAD + b"X: ", b"x" * 4_096, 256))] * 200,
        *[crowds.Member(crowds.repeat_piece(POST_HEAD, b"X-Field: x\r\n" * 100, 6))] * 200,
        *[crowds.Member(crowds.repeat_piece(b"", GET_REQUEST * 16, 100))] * 200,
    ],
    # Guards against a process that is ended over its memory (Fault): heads were counted after they
    # were parsed, and only by their bytes before.
    "unfinished-bodies-with-many-fields": [
        *[crowds.Member(crowds.send_chunks(POST_HEAD + MANY_FIELDS, 1, 2_000))] * 400,
    ],
    "large-responses-read-slowly": [
        *[crowds.Member(crowds.repeat_piece(b"", LARGE_REQUEST, 16))] * 100,
        *[crowds.Member(crowds.repeat_piece(b"", LARGE_REQUEST, 16), reads_bytes=1)] * 100,
    ],
    "idle-connections": [crowds.Member(crowds.repeat_piece(b"", b"", 0))] * 1_000,
}


@pytest.fixture
def deployment(tmp_path: pathlib.Path) -> Iterator[deployment_system.DeploymentHarness]:
    """Yield one instance with low limits, a server of each service and large responses."""
    harness = deployment_system.DeploymentHarness(tmp_path, LIMITS)
    try:
        harness.start(instances=1, keyed=1, unkeyed=1)
        harness.wait_until_status(0, "GET", "/ledger/page", 200, key=1, timeout_s=30.0)
        harness.unkeyed[0].min_body_bytes = LARGE_RESPONSE_BYTES
        yield harness
    finally:
        harness.stop()


@pytest.mark.parametrize("name", CROWDS)
def test_process_keeps_to_its_limits_and_goes_on_serving(
    deployment: deployment_system.DeploymentHarness,
    name: str,
    record_property: Callable[[str, object], None],
) -> None:
    instance = deployment.instances[0]
    process_id = instance.process.pid
    idle = crowds.ProcessState.read(process_id)
    with crowds.Crowd(instance.callers, process_id, CROWDS[name]) as crowd:
        crowd.run()
        is_served = _is_ordinary_request_served(deployment)
        return_code = instance.process.poll()
        assert return_code is None, f"exit status {return_code}"
        state = crowds.ProcessState.read(process_id)
    added_mb = (state.peak_bytes - idle.resident_bytes) / BYTES_PER_MB
    record_property("added_mb", f"{added_mb:.1f}")
    record_property("descriptors", crowd.max_descriptors)
    assert added_mb <= LIMITS.memory_mb * MEMORY_SHARE
    assert crowd.max_descriptors <= LIMITS.max_fds
    assert is_served


def _is_ordinary_request_served(deployment: deployment_system.DeploymentHarness) -> bool:
    ends_at_s = time.monotonic() + ORDINARY_TIMEOUT_S
    while time.monotonic() < ends_at_s:
        with contextlib.suppress(OSError, http.client.HTTPException):
            if deployment.send(0, "GET", "/ledger/page", key=1).status == 200:
                return True
        time.sleep(deployment_system.POLL_INTERVAL_S)
    return False
