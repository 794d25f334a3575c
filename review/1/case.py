"""A backend starts again; some seconds later the router process that gives the grants is killed.

The other processes got the list of backends from that one. They go on reading the store's log
where they stopped at their own start, and a read returns no more than 1,024 KB.
"""

import os
import pathlib
import signal
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))
import standins  # noqa: E402

IDLE_BACKENDS = 170
RESTART_AT_S = 50.0
BUSY_AT_S = 56.5
KILL_AT_S = 58.0
BUSY_FOR_S = 5.5
RESTART_DELAY_S = 1.0
WATCH_S = 10.0
SAMPLE_S = 0.02
MOST_SHARED_S = 0.5
BUSY_PAUSE_S = 0.35
CALM_PAUSE_S = 1.7
KEYS = range(0, 65_536, 1_024)


def case(deployment, record, trouble):
    ledgers = [
        deployment.add(standins.Backend(deployment.store, record, "ledger", keyed=True))
        for _ in range(7)
    ]
    for _ in range(IDLE_BACKENDS):
        deployment.add(standins.Backend(deployment.store, record, "pages"))
    deployment.publish(
        [standins.route("ledger", "ledger", "safe"), standins.route("pages", "pages", "safe")],
        [standins.service("ledger", keyed=True), standins.service("pages")],
    )
    deployment.start(3)
    if not standins.wait_until(lambda: all(count(ledgers, key) == 1 for key in KEYS), 25):
        raise standins.CannotRun("the keys are not granted")
    stop = threading.Event()
    busy: set[int] = set()
    for number, key in enumerate(KEYS):
        args = (deployment.routers[number % 3], record, stop, key, busy)
        threading.Thread(target=load, args=args, daemon=True).start()
    wait_for(record, RESTART_AT_S)
    restarted = next(ledger for ledger in ledgers if ledger.holds(KEYS[len(KEYS) // 2]))
    keys = [key for key in KEYS if restarted.holds(key)]
    if trouble:
        restarted.restart()
    wait_for(record, BUSY_AT_S)
    busy.update(keys)
    threading.Timer(BUSY_FOR_S, busy.clear).start()
    record.write(f"for {BUSY_FOR_S} s the busy keys are {keys[0]} to {keys[-1]}")
    wait_for(record, KILL_AT_S)
    if not all(count(ledgers, key) == 1 for key in KEYS):
        raise standins.CannotRun("the keys are not granted again after the backend's restart")
    if trouble:
        lessor = deployment.lessor()
        lessor.process.send_signal(signal.SIGKILL)
        record.write(f"{lessor.name}, the lessor, is killed")
        threading.Thread(target=start_again, args=(lessor, record), daemon=True).start()
    broken = watch(ledgers, record)
    stop.set()
    return broken


def start_again(router, record):
    """Start a killed process again, as the platform does after a short delay."""
    router.process.wait()
    time.sleep(RESTART_DELAY_S)
    router.start()
    record.write(f"{router.name} is started again")


def watch(ledgers, record):
    shared_since_s = {}
    broken = {}
    ends_s = time.monotonic() + WATCH_S
    while time.monotonic() < ends_s:
        now_s = time.monotonic()
        for key in KEYS:
            holders = [ledger.id for ledger in ledgers if ledger.holds(key)]
            if len(holders) < 2:
                shared_since_s.pop(key, None)
                continue
            shared_s = now_s - shared_since_s.setdefault(key, now_s)
            if shared_s > MOST_SHARED_S:
                begun = [
                    sum(run == key and at_s >= shared_since_s[key] for at_s, run in ledger.begun)
                    for ledger in ledgers
                    if ledger.id in holders
                ]
                broken[key] = (
                    f"key {key} is held by {' and '.join(holders)} for {shared_s:.2f} s; "
                    f"requests on it begun there meanwhile: {begun}"
                )
        time.sleep(SAMPLE_S)
    return list(broken.values())


def count(ledgers, key):
    return sum(ledger.holds(key) for ledger in ledgers)


def wait_for(record, at_s):
    time.sleep(max(0.0, at_s - record.now_s()))


def load(router, record, stop, key, busy):
    client = standins.Client(router.http, record)
    while not stop.is_set():
        answer = client.send("GET", "/ledger/a", key=key, budget_ms=2_000)
        wait_until_s = time.monotonic() + (CALM_PAUSE_S if answer.status else 1.0)
        while time.monotonic() < wait_until_s and not (key in busy and answer.status):
            time.sleep(0.1)
        time.sleep(BUSY_PAUSE_S if key in busy else 0.0)


if __name__ == "__main__":
    is_troubled = os.environ.get("TROUBLE", "1") != "0"
    record_path = pathlib.Path(__file__).resolve().parent / "record.txt"
    sys.exit(standins.main(case, record_path, trouble=is_troubled))
