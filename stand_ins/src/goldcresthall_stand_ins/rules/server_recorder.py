"""Records what one server sees, with a method for each event."""

from __future__ import annotations

import hashlib
import urllib.parse
from typing import TYPE_CHECKING

from goldcresthall_stand_ins.rules import events

if TYPE_CHECKING:
    from goldcresthall_stand_ins import web
    from goldcresthall_stand_ins.rules import recorder as recorders

MS_PER_S = 1_000


def compute_digest(body: bytes) -> str:
    """Return the digest of a body, which is the same at callers and servers."""
    return hashlib.sha256(body).hexdigest()


class ServerRecorder:
    """Records the events of all incarnations of a server, each at the time of the call."""

    def __init__(self, recorder: recorders.Recorder, server: str, service: str) -> None:
        self._recorder = recorder
        self._server = server
        self._service = service
        self._incarnation = 0

    def record_start(self, address: str) -> None:
        """Record that the next incarnation starts."""
        self._incarnation += 1
        self._recorder.add(
            events.ServerStarted(
                at_s=self._recorder.read_s(),
                server=self._server,
                incarnation=self._incarnation,
                service=self._service,
                address=address,
            )
        )

    def record_end(self) -> None:
        """Record that the process is about to end."""
        self._recorder.add(
            events.ServerEnded(
                at_s=self._recorder.read_s(), server=self._server, incarnation=self._incarnation
            )
        )

    def record_grant(
        self, keys: range, fence: int, lease_s: float, arrived_at_s: float, sender: str = ""
    ) -> None:
        """Record that a grant takes effect now."""
        self._recorder.add(
            events.GrantTaken(
                at_s=self._recorder.read_s(),
                server=self._server,
                incarnation=self._incarnation,
                first_key=keys.start,
                last_key=keys.stop - 1,
                fence=fence,
                lease_s=lease_s,
                arrived_at_s=arrived_at_s,
                sender=sender,
            )
        )

    def record_release(self, keys: range) -> None:
        """Record that no more work begins on keys."""
        self._recorder.add(
            events.KeysReleased(
                at_s=self._recorder.read_s(),
                server=self._server,
                incarnation=self._incarnation,
                first_key=keys.start,
                last_key=keys.stop - 1,
            )
        )

    def record_arrival(self, request: web.Request, instance: str = "") -> None:
        """Record a request; one without an ID is a health check."""
        request_id = request.headers.get("goldcresthall-request-id", "")
        key = request.headers.get("goldcresthall-shard-key")
        deadline_ms = request.headers.get("goldcresthall-request-deadline")
        query = f"?{urllib.parse.urlencode(request.query)}" if request.query else ""
        self._recorder.add(
            events.RequestArrived(
                at_s=self._recorder.read_s(),
                server=self._server,
                incarnation=self._incarnation,
                service=self._service,
                request_id=request_id,
                instance=instance,
                key=None if key is None else int(key),
                method=request.method,
                path=request.path + query,
                body_digest=compute_digest(request.body),
                deadline_s=None if deadline_ms is None else float(deadline_ms) / MS_PER_S,
                is_health_check=not request_id,
            )
        )

    def record_run(self, request_id: str, key: int | None) -> None:
        """Record that the work on a request begins."""
        self._recorder.add(
            events.RequestBegan(
                at_s=self._recorder.read_s(),
                server=self._server,
                incarnation=self._incarnation,
                request_id=request_id,
                key=key,
            )
        )

    def record_response(
        self, request_id: str, status: int, signature: str, body: bytes, *, is_complete: bool = True
    ) -> None:
        """Record that the work on a request has ended; call it before sending the response."""
        self._recorder.add(
            events.RequestEnded(
                at_s=self._recorder.read_s(),
                server=self._server,
                incarnation=self._incarnation,
                request_id=request_id,
                status=status,
                signature=signature,
                body_digest=compute_digest(body),
                is_complete=is_complete,
            )
        )

    def record_refusal(
        self,
        request_id: str,
        status: int,
        *,
        instance: str = "",
        retry_after_s: float | None = None,
    ) -> None:
        """Record that a request is rejected and does not run."""
        self._recorder.add(
            events.RequestRefused(
                at_s=self._recorder.read_s(),
                server=self._server,
                incarnation=self._incarnation,
                request_id=request_id,
                instance=instance,
                status=status,
                retry_after_s=retry_after_s,
            )
        )
