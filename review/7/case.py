"""A server that freezes while it sends answers without a length.

A caller must not get the part of the body that came before the freeze as a complete answer.
"""

from __future__ import annotations

import http.client
import pathlib
import signal
import subprocess
import sys
import threading
import time
import uuid

import harness
import server as page_server

FREEZE_S = 2.0
FREEZES = 8
ROUTERS = 8
SERVERS = 5
FOLDER = pathlib.Path(__file__).resolve().parent


class PageServer:
    """A process that serves pages; its entry is written by the case while it is not frozen."""

    def __init__(self, system: harness.System, name: str) -> None:
        self.name = name
        self._store = system.store
        self._record = system.record
        self.process = subprocess.Popen(
            [sys.executable, str(FOLDER / "server.py"), name], stdout=subprocess.PIPE, text=True
        )
        self._port = int(self.process.stdout.readline().split()[1])
        self._born = int(time.time() * 1000)
        self._seq = 0
        self.is_frozen = False
        threading.Thread(target=self._note_runs, daemon=True).start()
        threading.Thread(target=self._beat, daemon=True).start()

    def _note_runs(self) -> None:
        for line in self.process.stdout:
            self._record.write(f"{self.name} {line.strip()}")

    def _beat(self) -> None:
        while self.process.poll() is None:
            if not self.is_frozen:
                self._seq += 1
                entry = {
                    "service": "pages",
                    "address": f"127.0.0.1:{self._port}",
                    "zone": "domain-a",
                    "version": "v1",
                    "slots": 3,
                    "state": "ready",
                    "warmup_left_s": 0.0,
                    "seq": self._seq,
                    "born": self._born,
                }
                self._store.put("keyed.servers", self.name, entry)
            time.sleep(harness.HEARTBEAT_S)

    def freeze(self, duration_s: float) -> None:
        self._record.write(f"{self.name} freezes")
        self.is_frozen = True
        self.process.send_signal(signal.SIGSTOP)
        time.sleep(duration_s)
        self.process.send_signal(signal.SIGCONT)
        self.is_frozen = False
        self._record.write(f"{self.name} goes on")


def request_page(system: harness.System, router: harness.Router) -> None:
    """Request a page and compare the body with the server's whole body."""
    request_id = uuid.uuid4().hex[:16]
    headers = {
        "Host": harness.HOST,
        "Goldcresthall-Request-Id": request_id,
        "Goldcresthall-Request-Deadline": "6000",
    }
    connection = http.client.HTTPConnection("127.0.0.1", router.callers, timeout=10)
    try:
        connection.request("GET", "/pages/x", headers=headers)
        response = connection.getresponse()
        body = response.read()
        signature = response.getheader("Goldcresthall-Response-Signature")
        whole = page_server.create_body(request_id)
        system.record.write(
            f"caller of {request_id} gets {response.status}, {len(body)} of {len(whole)} bytes, "
            f"signature {signature}"
        )
        if response.status == 200 and body != whole:
            system.record.violate(
                f"MIXED request {request_id}: 200 with {len(body)} of {len(whole)} bytes as a "
                f"complete answer, Content-Length {response.getheader('Content-Length')}, "
                f"signature {signature}"
            )
    except (OSError, http.client.HTTPException) as error:
        system.record.write(f"caller of {request_id} gets no answer: {error!r}")
    finally:
        connection.close()


def send_pages(system: harness.System, stop: threading.Event) -> None:
    number = 0
    while not stop.wait(0.01):
        number += 1
        router = system.routers[number % len(system.routers)]
        threading.Thread(target=request_page, args=(system, router), daemon=True).start()


def send_programs(system: harness.System, stop: threading.Event) -> None:
    """Send requests of clients that wait for half a second more."""
    number = 0
    while not stop.wait(0.011):
        number += 1
        router = system.routers[number % len(system.routers)]
        threading.Thread(
            target=system.send, args=(router, "GET", "/program/x", None, 500), daemon=True
        ).start()


def play(system: harness.System, record: harness.Record, has_trouble: bool) -> None:
    pages = harness.create_route("pages", "/pages/", "pages", "safe")
    program = harness.create_route("program", "/program/", "pages", "safe")
    pages |= {"target_latency_s": 1.5, "timeout_s": 6.0}
    program |= {"target_latency_s": 0.3, "timeout_s": 1.2}
    system.extra_routes = [pages, program]
    system.extra_services = [{"name": "pages", "health_check": "/healthz", "max_conns": 130}]
    servers = [PageServer(system, f"pages-{number}") for number in range(SERVERS)]
    stop = threading.Event()
    threads = [
        threading.Thread(target=send, args=(system, stop)) for send in (send_pages, send_programs)
    ]
    try:
        system.start(routers=ROUTERS, keyed=0, unkeyed=1)
        time.sleep(2.0)
        for thread in threads:
            thread.start()
        time.sleep(10.0)
        for number in range(FREEZES):
            if has_trouble:
                servers[number % len(servers)].freeze(FREEZE_S)
            time.sleep(4.0)
    finally:
        stop.set()
        for thread in threads:
            if thread.ident is not None:
                thread.join()
        time.sleep(1.0)
        for server in servers:
            server.process.send_signal(signal.SIGCONT)
            server.process.kill()
            server.process.wait()


harness.run(FOLDER / "record.txt", play)
