"""Tests of what is made of peers' answers."""

from __future__ import annotations

import random

import pytest

from goldcresthall.core import identity
from goldcresthall.core import key_ranges
from goldcresthall.ranges import failure_detection
from goldcresthall.ranges import reports

EARLIER = key_ranges.LessorIdentity(
    identity.Incarnation("earlier", "life-1"), identity.Address("127.0.0.1", 7_001)
)


class FakeChannel(reports.PeerChannel):
    """Answers as it was told."""

    def __init__(self, presence: reports.Presence, *, stands_down: bool) -> None:
        self._presence = presence
        self._stands_down = stands_down

    def report(self, report: reports.Report) -> reports.Reply:
        """Answer no report."""
        raise NotImplementedError

    def ask_presence(self) -> reports.Presence:
        """Return the presence given."""
        return self._presence

    def request_step_down(self, term: int) -> bool:
        """Return what was given."""
        return self._stands_down

    def close(self) -> None:
        """Do nothing."""


class FakeDialer(reports.PeerDialer):
    """Reaches one peer, or fails in one way."""

    def __init__(self, reached: FakeChannel | reports.UnreachableError) -> None:
        self._reached = reached

    def start(self) -> None:
        """Do nothing."""

    def stop(self) -> None:
        """Do nothing."""

    def dial(self, address: identity.Address, timeout_s: float) -> reports.PeerChannel:
        """Return the peer or fail."""
        if isinstance(self._reached, reports.UnreachableError):
            raise self._reached
        return self._reached


def reach(token: str, lessor_silence_s: float, *, stands_down: bool = False) -> FakeDialer:
    presence = reports.Presence(identity.Incarnation("earlier", token), lessor_silence_s)
    return FakeDialer(FakeChannel(presence, stands_down=stands_down))


def fail(*, is_refused: bool) -> FakeDialer:
    return FakeDialer(reports.UnreachableError("no answer", is_refused=is_refused))


@pytest.mark.parametrize(
    ("dialer", "is_silent"),
    [
        (reach("life-1", 0.2), False),
        (reach("life-1", 5.0), True),
        (fail(is_refused=True), True),
        (fail(is_refused=False), False),
    ],
)
def test_a_lessor_is_silent_to_all_only_if_a_reachable_peer_misses_it(
    dialer: FakeDialer, is_silent: bool
) -> None:
    peers = [reports.Peer("peer", identity.Address("127.0.0.1", 7_002))]
    assert failure_detection.peers_confirm_loss(dialer, peers, random.Random(1)) is is_silent


def test_without_peers_the_own_word_counts() -> None:
    assert failure_detection.peers_confirm_loss(fail(is_refused=False), [], random.Random(1))


@pytest.mark.parametrize(
    ("dialer", "ended"),
    [
        (reach("life-2", 0.0), True),
        (reach("life-1", 0.0, stands_down=True), True),
        (reach("life-1", 0.0), False),
        (fail(is_refused=True), False),
        (fail(is_refused=False), False),
    ],
)
def test_an_earlier_lessor_has_ended_only_by_proof(dialer: FakeDialer, ended: bool) -> None:
    assert failure_detection.has_stopped_granting(dialer, EARLIER, 5) is ended
