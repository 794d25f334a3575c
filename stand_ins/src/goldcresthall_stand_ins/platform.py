"""Stand-in for the platform: the log service and the instance list."""

from __future__ import annotations

import base64
import dataclasses
import json
import threading
import time

from goldcresthall.core import identity
from goldcresthall.encoding import documents
from goldcresthall_stand_ins import web

MS_PER_S = 1_000
THREAD_COUNT = 64
STATUS_OK = 200
STATUS_NOT_FOUND = 404
STATUS_GONE = 410
STATUS_UNAVAILABLE = 503


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformFaults:
    """Faults injected into the platform; control requests are not affected.

    Attributes
    ----------
    down
        Refuses every request with status 503.
    delay_ms
        Delay before each request is handled, in milliseconds.
    lost_answers
        Number of further append requests that take effect but get status 503.
    cut_sources
        Instances, by the name in their User-Agent, whose requests are all refused, as in a
        network partition.
    """

    down: bool = False
    delay_ms: int = 0
    lost_answers: int = 0
    cut_sources: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceListDocument:
    """Instance list, as the service returns it and a control request replaces it."""

    instances: tuple[identity.InstanceEntry, ...]


class PlatformStandIn(web.StandIn):
    """Keeps the log and the instance list in memory."""

    def __init__(self, host: str = "127.0.0.1", port: int = 0) -> None:
        super().__init__(host, port, THREAD_COUNT)
        self._appended = threading.Condition()
        self._begin_offset = 0
        self._entries: list[str] = []
        self._instances: tuple[identity.InstanceEntry, ...] = ()
        self._faults = PlatformFaults()
        self._append_count = 0

    @property
    def append_count(self) -> int:
        """Number of append requests that took effect, those with a lost response included."""
        return self._append_count

    def append_raw(self, entry: bytes) -> None:
        """Append one unvalidated entry, as a faulty writer would."""
        with self._appended:
            self._entries.append(base64.b64encode(entry).decode())
            self._appended.notify_all()

    def inject_faults(self, faults: PlatformFaults) -> None:
        """Replace the injected faults."""
        with self._appended:
            self._faults = faults
            self._appended.notify_all()

    def set_instance_list(self, instances: tuple[identity.InstanceEntry, ...]) -> None:
        """Replace the instance list."""
        self._instances = instances

    def expire_before(self, offset: int) -> None:
        """Delete entries below an offset, as the log's retention does."""
        with self._appended:
            new_begin_offset = min(offset, self._begin_offset + len(self._entries))
            del self._entries[: max(0, new_begin_offset - self._begin_offset)]
            self._begin_offset = max(self._begin_offset, new_begin_offset)

    def handle_request(self, request: web.Request) -> web.Response:
        """Handle a request to the log service, the instance list or the control interface."""
        if request.path == "/control/misbehave":
            self.inject_faults(documents.decode_document(request.body, PlatformFaults))
            return web.Response(STATUS_OK, b"{}")
        if request.path == "/control/expire":
            self.expire_before(int(request.query["before"]))
            return web.Response(STATUS_OK, b"{}")
        if request.path == "/control/append":
            self.append_raw(request.body)
            return web.Response(STATUS_OK, b"{}")
        if request.path == "/control/instances":
            document = documents.decode_document(request.body, InstanceListDocument)
            self.set_instance_list(document.instances)
            return web.Response(STATUS_OK, b"{}")
        faults = self._faults
        if faults.delay_ms:
            time.sleep(faults.delay_ms / MS_PER_S)
        if faults.down or _parse_source(request) in faults.cut_sources:
            return web.Response(STATUS_UNAVAILABLE, b"{}")
        return self._handle_service(request)

    def _handle_service(self, request: web.Request) -> web.Response:
        if request.path == "/log/append":
            return self._append(json.loads(request.body)["entries"])
        if request.path == "/log/read":
            return self._read(
                int(request.query["from"]),
                int(request.query["limit"]),
                int(request.query["wait_ms"]),
                _parse_source(request),
            )
        if request.path == "/instances":
            document = InstanceListDocument(self._instances)
            return web.Response(STATUS_OK, documents.encode_document(document).encode())
        return web.Response(STATUS_NOT_FOUND, b"{}")

    def _append(self, entries: list[str]) -> web.Response:
        with self._appended:
            first_offset = self._begin_offset + len(self._entries)
            self._entries.extend(entries)
            self._append_count += 1
            self._appended.notify_all()
            if self._faults.lost_answers:
                self._faults = dataclasses.replace(
                    self._faults, lost_answers=self._faults.lost_answers - 1
                )
                return web.Response(STATUS_UNAVAILABLE, b"{}")
        return web.Response(STATUS_OK, json.dumps({"first_offset": first_offset}).encode())

    def _read(self, from_offset: int, limit: int, wait_ms: int, source: str) -> web.Response:
        def is_unreachable() -> bool:
            return self._faults.down or source in self._faults.cut_sources

        with self._appended:
            self._appended.wait_for(
                lambda: self._end_offset > from_offset or is_unreachable(), wait_ms / MS_PER_S
            )
            if is_unreachable():
                return web.Response(STATUS_UNAVAILABLE, b"{}")
            start = from_offset - self._begin_offset
            page = {
                "first_offset": from_offset,
                "entries": self._entries[start : start + limit] if start >= 0 else [],
                "begin_offset": self._begin_offset,
                "end_offset": self._end_offset,
            }
        status = STATUS_GONE if start < 0 else STATUS_OK
        return web.Response(status, json.dumps(page).encode())

    @property
    def _end_offset(self) -> int:
        return self._begin_offset + len(self._entries)


def _parse_source(request: web.Request) -> str:
    return request.headers.get("user-agent", "").rpartition("/")[2]
