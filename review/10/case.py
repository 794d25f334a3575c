"""Clients that the operators do not control send many chunked bodies at once, in small chunks.

Most of them stop just short of the end and stay open. A router that says that it is ready must
take new connections of ordinary clients.
"""

from __future__ import annotations

import http.client
import pathlib
import socket
import threading
import time
import uuid

import harness

# A machine class of the sites in force: 160 MB and 1,638 descriptors.
MEMORY_MB = 160
MAX_FDS = 1_638
CROWD = 800
CROWD_THREADS = 8
# 80,000 bytes in chunks of one byte; the last chunk never comes.
CHUNKS = 16_000
ORDINARY_CLIENTS = 10
MIN_CLIENTS = 7
STABLE_WINDOW_S = 3.0
WATCHED_S = 24.0


class Observations:
    """What ordinary clients and the platform saw: the time, and whether it succeeded."""

    def __init__(self) -> None:
        # Of each attempt on a new connection: the client, when it began and ended, any answer.
        self.attempts: list[tuple[int, float, float, bool]] = []
        self.readiness: list[tuple[float, bool]] = []

    def find_longest_gap_s(self) -> float:
        """Return the longest time without an answer in which enough clients tried.

        The router said all the while that it is ready.
        """
        longest_s = 0.0
        answered = sorted(ended_s for _, _, ended_s, is_answered in self.attempts if is_answered)
        unready = [at_s for at_s, is_ready in self.readiness if not is_ready]
        last_s = max((ended_s for _, _, ended_s, _ in self.attempts), default=0.0)
        edges = sorted({*answered, *unready, last_s})
        for begin_s, end_s in zip(edges, edges[1:], strict=False):
            clients = {
                client
                for client, began_s, ended_s, _ in self.attempts
                if begin_s <= began_s and ended_s <= end_s
            }
            if len(clients) >= MIN_CLIENTS:
                longest_s = max(longest_s, end_s - begin_s)
        return longest_s


def send_ordinary(
    system: harness.System,
    observations: Observations,
    stop: threading.Event,
    client: int,
) -> None:
    """Send small requests, each on a new connection, three a second."""
    router = system.routers[0]
    while not stop.wait(0.3):
        request_id = uuid.uuid4().hex[:16]
        headers = {
            "Host": harness.HOST,
            "Goldcresthall-Request-Id": request_id,
            "Goldcresthall-Request-Deadline": "3000",
        }
        connection = http.client.HTTPConnection("127.0.0.1", router.callers, timeout=10)
        began_s = time.monotonic()
        try:
            connection.request("GET", "/read/x", headers=headers)
            text = str(connection.getresponse().status)
            is_answered = True
        except (OSError, http.client.HTTPException) as error:
            text, is_answered = repr(error), False
        finally:
            connection.close()
        observations.attempts.append((client, began_s, time.monotonic(), is_answered))
        system.record.write(f"client {client} on a new connection gets {text} for {request_id}")


def poll_readiness(
    system: harness.System, observations: Observations, stop: threading.Event
) -> None:
    while not stop.wait(0.5):
        is_ready = system.routers[0].is_ready()
        observations.readiness.append((time.monotonic(), is_ready))
        system.record.write(f"edge-0 is ready: {is_ready}")


def send_crowd(system: harness.System, opened: list[socket.socket], count: int) -> None:
    """Open connections, and send on each a chunked body without its end."""
    body = b"1\r\nx\r\n" * CHUNKS
    for _ in range(count):
        head = (
            f"POST /agenda/visit HTTP/1.1\r\nHost: {harness.HOST}\r\n"
            f"Goldcresthall-Request-Id: {uuid.uuid4().hex[:16]}\r\n"
            "Goldcresthall-Request-Deadline: 4000\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        try:
            connection = socket.create_connection(("127.0.0.1", system.routers[0].callers), 3.0)
            opened.append(connection)
            connection.settimeout(0.5)
            connection.sendall(head.encode() + body)
        except OSError:
            continue


def play(system: harness.System, record: harness.Record, has_trouble: bool) -> None:
    harness.SETTINGS = harness.SETTINGS.replace("memory_mb = 300", f"memory_mb = {MEMORY_MB}")
    harness.SETTINGS = harness.SETTINGS.replace("max_fds = 4100", f"max_fds = {MAX_FDS}")
    system.start(routers=1, keyed=0, unkeyed=4)
    observations = Observations()
    stop = threading.Event()
    threads = [threading.Thread(target=poll_readiness, args=(system, observations, stop))]
    threads += [
        threading.Thread(target=send_ordinary, args=(system, observations, stop, number))
        for number in range(ORDINARY_CLIENTS)
    ]
    for thread in threads:
        thread.start()
    opened: list[socket.socket] = []
    crowd = []
    try:
        time.sleep(3.0)
        if has_trouble:
            record.write(f"{CROWD} clients send {CHUNKS} chunks of one byte each, without the end")
            crowd = [
                threading.Thread(target=send_crowd, args=(system, opened, CROWD // CROWD_THREADS))
                for _ in range(CROWD_THREADS)
            ]
            for thread in crowd:
                thread.start()
        time.sleep(WATCHED_S)
    finally:
        stop.set()
        for thread in (*threads, *crowd):
            thread.join()
        for connection in opened:
            connection.close()
    longest_s = observations.find_longest_gap_s()
    record.write(f"longest time in which no new connection got an answer: {longest_s:.1f} s")
    if longest_s > STABLE_WINDOW_S:
        record.violate(
            f"RECOVER edge-0 says that it is ready and took no new connection for {longest_s:.1f} s, "
            f"while {MIN_CLIENTS} clients or more tried"
        )


harness.run(pathlib.Path(__file__).resolve().parent, play)
