"""A drill of the store; some seconds after it a server removes its entry, as planned.

The server serves on for some seconds. It must get no request that was sent later than `drain_s`
after the store accepted the removal.
"""

from __future__ import annotations

import pathlib
import threading
import time

import harness

COPY_AGE_S = 6.0
AWAY_S = 1.0
# More than `stable_window_s` after the end of the drill.
CALM_S = 3.4
SERVES_ON_S = 8.0
WORK_S = 0.5
STATUS_OK = 200


def drill(system: harness.System, record: harness.Record, copy: dict[str, int]) -> None:
    """Let the store be away for a moment and come back from a copy."""
    record.write("drill: the store goes away")
    system.store.leave()
    time.sleep(AWAY_S)
    ends = system.store.restore(copy)
    system.store.is_away = False
    record.write(f"drill: the store is back, era {system.store.era}; ends were and are {ends}")
    for server in system.servers:
        server.write_entry()


def send_orders(
    system: harness.System,
    stop: threading.Event,
    sent: dict[str, float],
    statuses: dict[str, int],
) -> None:
    """Send orders to all routers in turn, ten a second, and note when each was sent."""
    number = 0

    def send_one(router: harness.Router) -> None:
        at_s = time.monotonic()
        request_id, status, _ = system.send(router, "POST", "/agenda/visit")
        sent[request_id] = at_s
        statuses[request_id] = status

    while not stop.wait(0.1):
        number += 1
        router = system.routers[number % len(system.routers)]
        threading.Thread(target=send_one, args=(router,), daemon=True).start()


def play(system: harness.System, record: harness.Record, has_trouble: bool) -> None:
    system.start(routers=3, keyed=2, unkeyed=4)
    stop = threading.Event()
    for server in system.servers:
        server.extra_work_s = WORK_S if server.name.startswith("agenda") else 0.0
    sent: dict[str, float] = {}
    statuses: dict[str, int] = {}
    sender = threading.Thread(target=send_orders, args=(system, stop, sent, statuses))
    sender.start()
    try:
        time.sleep(8.0)
        copy = system.store.copy()
        time.sleep(COPY_AGE_S)
        if has_trouble:
            drill(system, record, copy)
        time.sleep(CALM_S)
        leaving = next(server for server in system.servers if server.name == "agenda-0")
        leaving.leave()
        accepted_at_s = time.monotonic()
        record.write("agenda-0 removed its entry; the store accepted that")
        time.sleep(SERVES_ON_S)
        record.write("agenda-0 ends")
        leaving.end()
        time.sleep(3.0)
    finally:
        stop.set()
        sender.join()
    time.sleep(1.0)
    late = [
        (at_s, request_id)
        for at_s, request_id in leaving.arrivals
        if sent.get(request_id, 0.0) > accepted_at_s + harness.DRAIN_S
    ]
    lost = [request_id for _, request_id in late if statuses.get(request_id) != STATUS_OK]
    record.write(f"of these without the answer of their run, as agenda-0 ended: {len(lost)} {lost}")
    record.write(f"orders that reached agenda-0 although sent too late: {len(late)}")
    for _, request_id in late:
        after_s = sent[request_id] - accepted_at_s
        record.violate(f"DRAIN order {request_id}, sent {after_s:.2f} s after, reached agenda-0")


RECORD_FILE = pathlib.Path(__file__).resolve().parent / "record.txt"

harness.run(RECORD_FILE, play)
