"""Errors of the protocol between router instances."""

from __future__ import annotations


class PeerError(Exception):
    """Base of all errors between peers; carries the step and the peer."""

    def __init__(self, step: str, peer: str, detail: str) -> None:
        super().__init__(f"{step} with {peer}: {detail}")
        self._step = step
        self._peer = peer

    @property
    def step(self) -> str:
        """Step of the exchange at which the error arose."""
        return self._step

    @property
    def peer(self) -> str:
        """The peer's name or address."""
        return self._peer


class PeerUnreachableError(PeerError):
    """The peer gave no usable answer."""


class PeerVersionError(PeerError):
    """The peer speaks another version of the protocol."""


class PeerRangeError(PeerError):
    """The peer does not keep the entries that were asked for."""


class PeerStateError(PeerError):
    """The peer has no state to give, or gave a damaged one."""
