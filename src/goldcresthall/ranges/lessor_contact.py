"""An instance's contact with the lessor: when it last replied, and whether it is lost."""

from __future__ import annotations

from typing import TYPE_CHECKING

from absl import logging

from goldcresthall.ranges import failure_detection

if TYPE_CHECKING:
    import random

    from goldcresthall.core import identity
    from goldcresthall.core import key_ranges
    from goldcresthall.kernel import clock
    from goldcresthall.ranges import reports

ASK_PEERS_AFTER_S = 0.8
UNCONFIRMED_LOSS_AFTER_S = 4.0
LESSOR_STORE_TIMEOUT_S = 0.5


class LessorContact:
    """Tracks the replies of the lessor that an instance reports to.

    An instance without replies from the lessor asks its peers. If one had a recent reply, or no
    peer is reachable, the lessor counts as lost only after a total silence of
    `UNCONFIRMED_LOSS_AFTER_S`, because the fault may be in the instance's own link. A refused
    connection counts as a loss at once.

    Parameters
    ----------
    own_address
        Address of this instance, which is not asked.
    monotonic_clock
        Clock that times replies.
    dialer
        Opens connections to peers.
    generator
        Chooses the peers that are asked.
    """

    def __init__(
        self,
        own_address: identity.Address,
        monotonic_clock: clock.Clock,
        dialer: reports.PeerDialer,
        generator: random.Random,
    ) -> None:
        self._own_address = own_address
        self._clock = monotonic_clock
        self._dialer = dialer
        self._generator = generator
        self._last_reply_at_s = -UNCONFIRMED_LOSS_AFTER_S
        self._following_since_s = 0.0
        self._store_lost_since_s: float | None = None

    @property
    def reply_age_s(self) -> float:
        """Seconds since any lessor last replied."""
        return self._clock.read_s() - self._last_reply_at_s

    @property
    def silence_s(self) -> float:
        """Seconds without a reply from the lessor that is followed now."""
        return self._clock.read_s() - max(self._last_reply_at_s, self._following_since_s)

    @property
    def is_without_store(self) -> bool:
        """Whether the lessor said in its last reply that it does not reach the store."""
        return self._store_lost_since_s is not None

    def begin(self) -> None:
        """Begin to follow a lessor."""
        self._following_since_s = self._clock.read_s()
        self._store_lost_since_s = None

    def record_reply(self, *, has_store: bool) -> bool:
        """Record a reply; return whether the lessor has been without the store for some time."""
        now_s = self._clock.read_s()
        self._last_reply_at_s = now_s
        if has_store:
            self._store_lost_since_s = None
            return False
        if self._store_lost_since_s is None:
            self._store_lost_since_s = now_s
        return now_s - self._store_lost_since_s >= LESSOR_STORE_TIMEOUT_S

    def check_loss(
        self,
        lessor: key_ranges.LessorIdentity,
        peers: tuple[reports.Peer, ...],
        error: reports.UnreachableError,
    ) -> bool:
        """Return whether a lessor is lost after a report to it failed.

        Parameters
        ----------
        peers
            Instances that may be asked whether the lessor replies to them.
        """
        if not self._is_lost(lessor, peers, error):
            return False
        logging.warning(
            "lessor %s lost, step report, silent for %.2f s: %s",
            lessor.incarnation,
            self.silence_s,
            error,
        )
        return True

    def _is_lost(
        self,
        lessor: key_ranges.LessorIdentity,
        peers: tuple[reports.Peer, ...],
        error: reports.UnreachableError,
    ) -> bool:
        if error.is_refused:
            return True
        silent_s = self.silence_s
        if silent_s < ASK_PEERS_AFTER_S:
            return False
        if silent_s >= UNCONFIRMED_LOSS_AFTER_S:
            return True
        excluded = {self._own_address, lessor.address}
        others = [peer for peer in peers if peer.address not in excluded]
        return failure_detection.peers_confirm_loss(self._dialer, others, self._generator)
