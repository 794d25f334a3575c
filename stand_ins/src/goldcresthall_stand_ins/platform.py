"""Stand-in of the platform: the log service and the instance list."""

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
THREADS = 64
STATUS_OK = 200
STATUS_NOT_FOUND = 404
STATUS_GONE = 410
STATUS_UNAVAILABLE = 503


@dataclasses.dataclass(frozen=True, slots=True)
class Misbehavior:
    """How the platform is to misbehave.

    Attributes
    ----------
    down
        Every request is refused.
    delay_ms
        Milliseconds by which each answer is late.
    lost_answers
        Number of appends that take effect but are answered by an error.
    cut_sources
        Instances, by the name in their User-Agent, that get no answer, as if cut off.
    """

    down: bool = False
    delay_ms: int = 0
    lost_answers: int = 0
    cut_sources: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceListDocument:
    """The body of the instance list."""

    instances: tuple[identity.InstanceEntry, ...]


class PlatformStandIn(web.StandIn):
    """Keeps the log in memory and lists the instances it was told of."""

    def __init__(self, host: str = "127.0.0.1", port: int = 0) -> None:
        super().__init__(host, port, THREADS)
        self._appended = threading.Condition()
        self._begin_offset = 0
        self._entries: list[str] = []
        self._instances: tuple[identity.InstanceEntry, ...] = ()
        self._misbehavior = Misbehavior()
        self._append_count = 0

    @property
    def append_count(self) -> int:
        """Number of appends that took effect."""
        return self._append_count

    def append_raw(self, entry: bytes) -> None:
        """Append one entry as it is, as a faulty writer would."""
        with self._appended:
            self._entries.append(base64.b64encode(entry).decode())
            self._appended.notify_all()

    def misbehave(self, misbehavior: Misbehavior) -> None:
        """Misbehave from now on as told."""
        with self._appended:
            self._misbehavior = misbehavior
            self._appended.notify_all()

    def list_instances(self, instances: tuple[identity.InstanceEntry, ...]) -> None:
        """Set the instance list."""
        self._instances = instances

    def expire_before(self, offset: int) -> None:
        """Forget entries below an offset, as the log's retention does."""
        with self._appended:
            kept_from = min(offset, self._begin_offset + len(self._entries))
            del self._entries[: max(0, kept_from - self._begin_offset)]
            self._begin_offset = max(self._begin_offset, kept_from)

    def answer(self, exchange: web.Exchange) -> web.Reply:
        """Answer a request of the log service, the instance list or the controls."""
        if exchange.path == "/control/misbehave":
            self.misbehave(documents.decode_document(exchange.body, Misbehavior))
            return web.Reply(STATUS_OK, b"{}")
        if exchange.path == "/control/expire":
            self.expire_before(int(exchange.query["before"]))
            return web.Reply(STATUS_OK, b"{}")
        if exchange.path == "/control/append":
            self.append_raw(exchange.body)
            return web.Reply(STATUS_OK, b"{}")
        if exchange.path == "/control/instances":
            document = documents.decode_document(exchange.body, InstanceListDocument)
            self.list_instances(document.instances)
            return web.Reply(STATUS_OK, b"{}")
        misbehavior = self._misbehavior
        if misbehavior.delay_ms:
            time.sleep(misbehavior.delay_ms / MS_PER_S)
        if misbehavior.down or _find_source(exchange) in misbehavior.cut_sources:
            return web.Reply(STATUS_UNAVAILABLE, b"{}")
        return self._answer_service(exchange)

    def _answer_service(self, exchange: web.Exchange) -> web.Reply:
        if exchange.path == "/log/append":
            return self._append(json.loads(exchange.body)["entries"])
        if exchange.path == "/log/read":
            return self._read(
                int(exchange.query["from"]),
                int(exchange.query["limit"]),
                int(exchange.query["wait_ms"]),
                _find_source(exchange),
            )
        if exchange.path == "/instances":
            document = InstanceListDocument(self._instances)
            return web.Reply(STATUS_OK, documents.encode_document(document).encode())
        return web.Reply(STATUS_NOT_FOUND, b"{}")

    def _append(self, entries: list[str]) -> web.Reply:
        with self._appended:
            first_offset = self._begin_offset + len(self._entries)
            self._entries.extend(entries)
            self._append_count += 1
            self._appended.notify_all()
            if self._misbehavior.lost_answers:
                self._misbehavior = dataclasses.replace(
                    self._misbehavior, lost_answers=self._misbehavior.lost_answers - 1
                )
                return web.Reply(STATUS_UNAVAILABLE, b"{}")
        return web.Reply(STATUS_OK, json.dumps({"first_offset": first_offset}).encode())

    def _read(self, from_offset: int, limit: int, wait_ms: int, source: str) -> web.Reply:
        def is_cut() -> bool:
            return self._misbehavior.down or source in self._misbehavior.cut_sources

        with self._appended:
            self._appended.wait_for(
                lambda: self._end_offset > from_offset or is_cut(), wait_ms / MS_PER_S
            )
            if is_cut():
                return web.Reply(STATUS_UNAVAILABLE, b"{}")
            start = from_offset - self._begin_offset
            page = {
                "first_offset": from_offset,
                "entries": self._entries[start : start + limit] if start >= 0 else [],
                "begin_offset": self._begin_offset,
                "end_offset": self._end_offset,
            }
        status = STATUS_GONE if start < 0 else STATUS_OK
        return web.Reply(status, json.dumps(page).encode())

    @property
    def _end_offset(self) -> int:
        return self._begin_offset + len(self._entries)


def _find_source(exchange: web.Exchange) -> str:
    return exchange.headers.get("user-agent", "").rpartition("/")[2]
