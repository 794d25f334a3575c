"""A backend server as a process: its answers on /pages/ have no length and end with the connection.

Usage: server.py NAME. Prints its port, and then a line for each request that it runs.
"""

from __future__ import annotations

import socket
import sys
import threading
import time

PIECES = 10
PIECE_S = 0.01
PIECE_BYTES = 1_000


def create_body(request_id: str) -> bytes:
    """Return the whole body of the answer to a request on /pages/."""
    return (request_id.encode() + b"-") * (PIECES * PIECE_BYTES // (len(request_id) + 1))


def serve(name: str, accepted: socket.socket) -> None:
    """Serve the requests of one connection."""
    accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    received = b""
    with accepted:
        while True:
            while b"\r\n\r\n" not in received:
                data = accepted.recv(65_536)
                if not data:
                    return
                received += data
            head, _, received = received.partition(b"\r\n\r\n")
            lines = head.decode().split("\r\n")
            path = lines[0].split(" ")[1]
            headers = {
                key.lower(): value.strip()
                for key, _, value in (line.partition(":") for line in lines[1:])
            }
            request_id = headers.get("goldcresthall-request-id", "")
            expected = headers.get("goldcresthall-target-instance")
            if expected not in (None, name):
                accepted.sendall(b"HTTP/1.1 421 -\r\nContent-Length: 0\r\n\r\n")
                continue
            print(f"runs {request_id} {path}", flush=True)
            common = (
                f"Goldcresthall-Request-Id: {request_id}\r\n"
                f"Goldcresthall-Response-Signature: signed-by-{name}\r\n"
                "Goldcresthall-Server-Load: 1,0,3\r\n"
            )
            if path.startswith("/pages/"):
                answer = f"HTTP/1.1 200 OK\r\n{common}Connection: close\r\n\r\n"
                accepted.sendall(answer.encode())
                body = create_body(request_id)
                for piece in range(0, len(body), PIECE_BYTES):
                    accepted.sendall(body[piece : piece + PIECE_BYTES])
                    time.sleep(PIECE_S)
                return
            time.sleep(0.03)
            accepted.sendall(f"HTTP/1.1 200 OK\r\n{common}Content-Length: 2\r\n\r\nok".encode())


def run(name: str, accepted: socket.socket) -> None:
    """Serve a connection until it ends or is lost."""
    try:
        serve(name, accepted)
    except OSError:
        return


def main() -> None:
    """Listen and serve until the process is ended."""
    name = sys.argv[1]
    listener = socket.create_server(("127.0.0.1", 0), backlog=128)
    print(f"port {listener.getsockname()[1]}", flush=True)
    while True:
        accepted, _ = listener.accept()
        threading.Thread(target=run, args=(name, accepted), daemon=True).start()


if __name__ == "__main__":
    main()
