"""Errors of the peer protocol."""

from __future__ import annotations


class PeerError(Exception):
    """Base class of all peer errors; carries the protocol step and the peer."""

    def __init__(self, step: str, peer: str, detail: str) -> None:
        super().__init__(f"{step} with {peer}: {detail}")
        self._step = step
        self._peer = peer

    @property
    def step(self) -> str:
        """Protocol step that failed."""
        return self._step

    @property
    def peer(self) -> str:
        """Name or address of the peer."""
        return self._peer


class PeerUnreachableError(PeerError):
    """The peer gave no usable response."""


class PeerVersionError(PeerError):
    """The peer uses another protocol version."""


class PeerRangeError(PeerError):
    """The peer does not retain the requested log entries."""


class PeerStateError(PeerError):
    """The peer has no usable state, or sent a corrupt one."""
