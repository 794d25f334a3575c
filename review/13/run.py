"""Answers of the store are lost for a moment, as it tells the instances of a new manifest."""

from __future__ import annotations

import pathlib
import threading
import time

import harness

from goldcresthall_stand_ins import deployment_store
from goldcresthall_stand_ins import web

FOLDER = pathlib.Path(__file__).resolve().parent
INSTANCES = 4
# The store's answers that are due within this time after the manifest was written are lost.
LOSS_S = 0.03
CONFIG_S = 2.0
STABLE_WINDOW_S = 3.0
PROBED_S = 14.0
PROBE_INTERVAL_S = 0.25
# Answers are counted over the longest time for which the site's trouble lasts.
TROUBLE_S = 4.5


class LosingStore(deployment_store.StoreStandIn):
    """Loses the answers of a short time; a connection on which one is lost returns nothing more."""

    def __init__(self) -> None:
        super().__init__(threads=96)
        self._loses_until_s = 0.0
        self._ended = threading.Event()
        self.answered_at_s: list[float] = []
        self.lost: list[tuple[float, str]] = []

    def lose_answers(self, duration_s: float) -> None:
        """Lose the answers from now on for some time."""
        self._loses_until_s = time.monotonic() + duration_s

    def stop(self) -> None:
        """Stop, also the calls whose answers are lost."""
        self._ended.set()
        super().stop()

    def handle_request(self, request: web.Request) -> web.Response:
        """Handle one call; its answer may be lost."""
        response = super().handle_request(request)
        now_s = time.monotonic()
        self.answered_at_s.append(now_s)
        if now_s < self._loses_until_s:
            self.lost.append((now_s, f"{request.path} {request.query.get('topic', '')}"))
            self._ended.wait(120.0)
        return response


def run(folder: pathlib.Path) -> bool:
    """Return whether requests were handled as only the older manifest allows."""
    store = LosingStore()
    store.start()
    system = harness.System(folder, store)
    record = system.record
    try:
        for number in range(2):
            system.add_server(f"old-{number}", "historico")
            system.add_server(f"new-{number}", "chamados")
        services = [harness.create_service("historico"), harness.create_service("chamados")]
        before = harness.create_route("r-queue", "/queue/", "historico", "safe")
        after = harness.create_route("r-queue", "/queue/", "chamados", "safe")
        harness.write_manifest(store, 5, [before], services)
        system.start_instances(INSTANCES)
        # The instances settle, and their long polls begin.
        time.sleep(4.0)
        statuses = [probe(system, index, f"first-{index}")[0] for index in range(INSTANCES)]
        if statuses != [200] * INSTANCES:
            raise harness.CaseError(f"not served before: {statuses}")
        if harness.has_trouble():
            store.lose_answers(LOSS_S)
        acked_at_s = harness.write_manifest(store, 9, [after], services)
        record.add("manifest 00000009 acked: /queue/ moves from historico to chamados", acked_at_s)
        broken = probe_all(system, acked_at_s)
        for at_s, what in store.lost:
            record.add(f"answer lost: {what}", at_s)
        around = [at_s for at_s in store.answered_at_s if abs(at_s - acked_at_s) < TROUBLE_S / 2]
        record.add(
            f"answers lost {len(store.lost)} of {len(around)} that the store gave in {TROUBLE_S} s"
        )
        record.add(f"requests run by the old service in touch and after config_s: {broken}")
        print(f"{broken} requests were run by the old service")
        return broken > 0
    finally:
        system.stop()


def probe_all(system: harness.System, acked_at_s: float) -> int:
    """Send requests to all instances; return how many the old service ran although it must not."""
    counted_from_s = acked_at_s + max(CONFIG_S, LOSS_S + STABLE_WINDOW_S) + 0.5
    broken = 0
    number = 0
    while time.monotonic() < acked_at_s + PROBED_S:
        for index in range(INSTANCES):
            number += 1
            sent_at_s = time.monotonic()
            status, ran_by = probe(system, index, f"probe-{number}")
            is_old = ran_by.startswith("old-")
            is_counted = sent_at_s >= counted_from_s
            broken += is_old and is_counted
            system.record.add(
                f"probe-{number} to edge-{index}: {status}, run by {ran_by or 'nobody'}"
                f"{', counted' if is_old and is_counted else ''}",
                sent_at_s,
            )
        time.sleep(PROBE_INTERVAL_S)
    return broken


def probe(system: harness.System, index: int, request_id: str) -> tuple[int, str]:
    """Send one request; return its status and the server that ran it."""
    status, body = harness.send(system.instances[index].callers, "GET", "/queue/1", request_id)
    return status, body.decode().partition(" ")[0] if status == 200 else ""


if __name__ == "__main__":
    harness.run_case(run, FOLDER)
