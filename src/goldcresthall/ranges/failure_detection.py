"""Questions to peers: whether the lessor answers them, and whether a life has ended."""

from __future__ import annotations

from typing import TYPE_CHECKING

from goldcresthall.ranges import reports

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from goldcresthall.core import key_ranges

PEERS_ASKED = 3
PEER_TIMEOUT_S = 0.3
HEARD_LATELY_S = 1.0


def peers_confirm_loss(
    dialer: reports.PeerDialer, peers: Sequence[reports.Peer], generator: random.Random
) -> bool:
    """Return whether some peers can be reached and the lessor answers none of them.

    If no peer can be reached, the fault is more likely here than at the lessor.
    """
    if not peers:
        return True
    answered = False
    for peer in generator.sample(peers, min(PEERS_ASKED, len(peers))):
        try:
            channel = dialer.dial(peer.address, PEER_TIMEOUT_S)
            presence = channel.ask_presence()
            channel.close()
        except reports.UnreachableError as error:
            answered = answered or error.is_refused
            continue
        answered = True
        if presence.lessor_silence_s < HEARD_LATELY_S:
            return False
    return answered


def has_stopped_granting(
    dialer: reports.PeerDialer, earlier: key_ranges.LessorIdentity, term: int
) -> bool:
    """Return whether an earlier lessor grants no more: another life answers, or it says so."""
    try:
        channel = dialer.dial(earlier.address, PEER_TIMEOUT_S)
        presence = channel.ask_presence()
        ended = presence.incarnation != earlier.incarnation or channel.request_step_down(term)
        channel.close()
    except reports.UnreachableError:
        return False
    return ended
