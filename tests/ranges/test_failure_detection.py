"""Tests of failure detection from the replies of peers."""

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
    """Returns a configured presence and response to `request_step_down`."""

    def __init__(self, presence: reports.Presence, *, steps_down: bool) -> None:
        self._presence = presence
        self._steps_down = steps_down

    def report(self, report: reports.Report) -> reports.Reply:
        """Fail: reports are not part of these tests."""
        raise NotImplementedError

    def ask_presence(self) -> reports.Presence:
        """Return the configured presence."""
        return self._presence

    def request_step_down(self, term: int, successor: key_ranges.LessorIdentity) -> bool:
        """Return the configured response."""
        return self._steps_down

    def close(self) -> None:
        """Do nothing."""


class FakeDialer(reports.PeerDialer):
    """Connects to one configured peer or raises a configured error."""

    def __init__(self, reached: FakeChannel | reports.UnreachableError) -> None:
        self._reached = reached

    def start(self) -> None:
        """Do nothing."""

    def stop(self) -> None:
        """Do nothing."""

    def dial(self, address: identity.Address, timeout_s: float) -> reports.PeerChannel:
        """Return the channel to the peer or raise the error."""
        if isinstance(self._reached, reports.UnreachableError):
            raise self._reached
        return self._reached


def create_reachable_dialer(
    token: str, lessor_silence_s: float, *, steps_down: bool = False
) -> FakeDialer:
    presence = reports.Presence(identity.Incarnation("earlier", token), lessor_silence_s)
    return FakeDialer(FakeChannel(presence, steps_down=steps_down))


def create_failing_dialer(*, is_refused: bool) -> FakeDialer:
    return FakeDialer(reports.UnreachableError("no answer", is_refused=is_refused))


@pytest.mark.parametrize(
    ("dialer", "is_confirmed"),
    [
        (create_reachable_dialer("life-1", 0.2), False),
        (create_reachable_dialer("life-1", 5.0), True),
        (create_failing_dialer(is_refused=True), True),
        (create_failing_dialer(is_refused=False), False),
    ],
)
def test_lessor_loss_is_confirmed_only_by_a_reachable_peer_without_a_recent_reply(
    dialer: FakeDialer, is_confirmed: bool
) -> None:
    peers = [reports.Peer("peer", identity.Address("127.0.0.1", 7_002))]
    assert failure_detection.peers_confirm_loss(dialer, peers, random.Random(1)) is is_confirmed


def test_lessor_loss_needs_no_confirmation_without_peers() -> None:
    assert failure_detection.peers_confirm_loss(
        create_failing_dialer(is_refused=False), [], random.Random(1)
    )


@pytest.mark.parametrize(
    ("dialer", "has_stopped"),
    [
        (create_reachable_dialer("life-2", 0.0), True),
        (create_reachable_dialer("life-1", 0.0, steps_down=True), True),
        (create_reachable_dialer("life-1", 0.0), False),
        (create_failing_dialer(is_refused=True), False),
        (create_failing_dialer(is_refused=False), False),
    ],
)
def test_earlier_lessor_has_stopped_only_after_a_restart_or_its_confirmation(
    dialer: FakeDialer, has_stopped: bool
) -> None:
    assert failure_detection.has_stopped_granting(dialer, EARLIER, 5, EARLIER) is has_stopped
