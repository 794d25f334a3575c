"""A drill of the store after a server joined and the lessor was restarted as planned.

The store comes back from a copy of the time before both. The moved keys must not get a second
holder, and no server may take them with a token that is not above the earlier ones.
"""

from __future__ import annotations

import pathlib
import signal
import threading
import time

import harness

COPY_AGE_S = 6.0
AWAY_S = 1.0
CALM_S = 12.0


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


def play(system: harness.System, record: harness.Record, has_trouble: bool) -> None:
    system.start(routers=3, keyed=3, unkeyed=1)
    for server in system.servers:
        server.extra_work_s = 0.08
    stop = threading.Event()
    threads = [
        threading.Thread(target=system.send_steadily, args=(stop, 15.0)),
        threading.Thread(target=system.watch_holders, args=(stop,)),
    ]
    for thread in threads:
        thread.start()
    try:
        time.sleep(10.0)
        copy = system.store.copy()
        copied_at_s = time.monotonic()
        joined = system.add_server("ledger-3", "ledger")
        joined.extra_work_s = 0.08
        system.wait_until(lambda: any(joined.holds(key) for key in range(0, 65_536, 64)), 20.0)
        record.write(f"ledger-3 holds keys after {time.monotonic() - copied_at_s:.1f} s")
        lessor = system.find_lessor()
        record.write(f"edge-{lessor.number}, the lessor, gets SIGTERM")
        lessor.signal(signal.SIGTERM)
        lessor.process.wait(timeout=10)
        lessor.start(bootstrap=False)
        record.write(f"edge-{lessor.number} starts again")
        time.sleep(max(0.0, copied_at_s + COPY_AGE_S - time.monotonic()))
        if has_trouble:
            drill(system, record, copy)
        time.sleep(CALM_S)
    finally:
        stop.set()
        for thread in threads:
            thread.join()


RECORD_FILE = pathlib.Path(__file__).resolve().parent / "record.txt"

harness.run(RECORD_FILE, play)
