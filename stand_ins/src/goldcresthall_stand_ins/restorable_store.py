"""Stand-in for the platform's store that comes back from an earlier copy of its records."""

from __future__ import annotations

from goldcresthall_stand_ins import deployment_store
from goldcresthall_stand_ins import web

FIRST_ERA = 1


class RestorableStore(deployment_store.StoreStandIn):
    """A store whose responses bear its era, which rises each time that it comes back from a copy.

    Attributes
    ----------
    current_era
        The era in the header of all responses.
    """

    def __init__(self, host: str = "127.0.0.1", port: int = 0, threads: int = 64) -> None:
        super().__init__(host, port, threads)
        self.current_era = FIRST_ERA
        self._copied_ends: dict[str, int] = {}

    def take_copy(self) -> None:
        """Copy all records."""
        with self._changed:
            self._copied_ends = {topic: len(records) for topic, records in self._topics.items()}

    def restore_copy(self, rewritten: tuple[str, ...] = ()) -> None:
        """Come back from the last copy; without one, nothing is left.

        Parameters
        ----------
        rewritten
            Topics whose lost records their writers write again, at new offsets.
        """
        with self._changed:
            for topic, records in self._topics.items():
                copied = self._copied_ends.get(topic, 0)
                lost = {record.key: record for record in records[copied:]}
                del records[copied:]
                if topic in rewritten:
                    records.extend(lost.values())
            self.current_era += 1
            self._changed.notify_all()

    def handle_request(self, request: web.Request) -> web.Response:
        """Handle one call; its response bears the era in which it was handled."""
        era = self.current_era
        response = self._reject_future(request) or super().handle_request(request)
        headers = (*response.headers, ("Store-Era", str(era)))
        return web.Response(response.status, response.body, headers)

    def _reject_future(self, request: web.Request) -> web.Response | None:
        """Return status 410 for a read from an offset that the topic does not have."""
        if request.path != "/api/log-read":
            return None
        with self._changed:
            end = len(self._topics.get(request.query.get("topic", ""), []))
        if int(request.query.get("from", "0")) <= end:
            return None
        return web.Response(410, b'{"first_offset": 0}')
