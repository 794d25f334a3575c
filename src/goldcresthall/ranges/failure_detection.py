"""Failure detection by peers: queries whether a lessor is lost or has stopped granting."""

from __future__ import annotations

from typing import TYPE_CHECKING

from absl import logging

from goldcresthall.core import key_ranges
from goldcresthall.ranges import reports

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from goldcresthall.ranges import lessor

MAX_QUERIED_PEERS = 3
PEER_TIMEOUT_S = 0.3
MAX_REPLY_AGE_S = 1.0


def peers_confirm_loss(
    dialer: reports.PeerDialer, peers: Sequence[reports.Peer], generator: random.Random
) -> bool:
    """Return whether at least one peer is reachable and none had a recent reply from the lessor.

    If no peer is reachable, the fault is more likely at this instance than at the lessor.
    A peer whose host refuses the connection counts as reachable. Without any peers, the
    result is true.
    """
    if not peers:
        return True
    is_any_reachable = False
    for peer in generator.sample(peers, min(MAX_QUERIED_PEERS, len(peers))):
        try:
            channel = dialer.dial(peer.address, PEER_TIMEOUT_S)
            presence = channel.ask_presence()
            channel.close()
        except reports.UnreachableError as error:
            is_any_reachable = is_any_reachable or error.is_refused
            continue
        is_any_reachable = True
        if presence.lessor_silence_s < MAX_REPLY_AGE_S:
            return False
    return is_any_reachable


def has_stopped_granting(
    dialer: reports.PeerDialer,
    earlier: key_ranges.LessorIdentity,
    term: int,
    successor: key_ranges.LessorIdentity,
) -> bool:
    """Return whether an earlier lessor has provably stopped granting.

    That is the case if another incarnation responds at its address, or if the lessor
    confirms that it stepped down for `term`, the term of `successor`.
    """
    try:
        channel = dialer.dial(earlier.address, PEER_TIMEOUT_S)
        presence = channel.ask_presence()
        has_restarted = presence.incarnation != earlier.incarnation
        ended = has_restarted or channel.request_step_down(term, successor)
        channel.close()
    except reports.UnreachableError:
        return False
    return ended


def have_all_stopped_granting(
    dialer: reports.PeerDialer,
    predecessors: tuple[key_ranges.LessorIdentity, ...],
    term: int,
    successor: key_ranges.LessorIdentity,
) -> bool:
    """Return whether all earlier lessors have provably stopped granting.

    One that is not known cannot be asked.
    """
    return key_ranges.UNKNOWN_LESSOR not in predecessors and all(
        has_stopped_granting(dialer, predecessor, term, successor) for predecessor in predecessors
    )


def query_predecessors(
    dialer: reports.PeerDialer, own_term: lessor.LessorTerm, own: key_ranges.LessorIdentity
) -> None:
    """End a term's wait for earlier lessors if all of them have stopped granting."""
    if own_term.awaits_predecessors and have_all_stopped_granting(
        dialer, own_term.predecessors, own_term.term, own
    ):
        logging.info("term %d: all earlier lessors have stopped granting", own_term.term)
        own_term.end_predecessor_wait()
