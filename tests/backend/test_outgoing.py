"""Tests of messages that are sent in parts."""

from __future__ import annotations

import socket
import threading

from goldcresthall.backend import outgoing


def test_parts_arrive_whole_and_in_order() -> None:
    parts = (b"head", b"", bytes(range(256)) * 20_000, b"tail")
    sender, receiver = socket.socketpair()
    message = outgoing.OutgoingMessage(parts)

    def send() -> None:
        with sender:
            while not message.is_sent:
                message.send_some(sender)

    thread = threading.Thread(target=send)
    thread.start()
    with receiver:
        received = b"".join(iter(lambda: receiver.recv(65_536), b""))
    thread.join(timeout=10)
    assert received == b"".join(parts)
