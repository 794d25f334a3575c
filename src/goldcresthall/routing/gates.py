"""An instance's share of one backend server's slots, adapted to what it sees."""

from __future__ import annotations

import dataclasses
import math

from goldcresthall.core import attempts
from goldcresthall.core import outcomes
from goldcresthall.core import preset

WINDOW = 10
INFLATION = 2.0
MOST_INFLATED = 0.5
DECREASE = 0.5
BASE_DRIFT = 1.002
LONG_FRACTION = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """Bounds of an instance's share of one server.

    Attributes
    ----------
    fair
        Requests at a time if all live instances have the same share.
    most
        Requests at a time however well the server does.
    """

    fair: int
    most: int

    @classmethod
    def from_config(cls, policy: preset.ServicePolicy, instances: int) -> Share:
        """Return the share of each of so many instances; never less than one request."""
        connections = max(1, policy.connections_per_server // instances)
        fair = max(1, math.ceil(policy.slots_per_server / instances))
        return cls(fair=min(fair, connections), most=min(policy.slots_per_server, connections))


class Gate:
    """Limits the requests that this instance has at one server.

    The limit starts at the fair share. It grows by one when work waited through a
    window of answers that mostly came as fast as ever. It is halved when the server
    sheds, and down to the fair share when most answers of a window took more than
    twice as long: below that share, waiting here only leaves slots idle.
    """

    def __init__(self, share: Share) -> None:
        self._share = share
        self._limit = share.fair
        self._base_s = math.inf
        self._answers = 0
        self._inflated = 0
        self.outstanding = 0
        self.outstanding_long = 0

    @property
    def limit(self) -> int:
        """Requests that may be at the server at a time."""
        return self._limit

    @property
    def long_limit(self) -> int:
        """Long requests that may be at the server at a time."""
        return max(1, int(self._limit * LONG_FRACTION))

    def change_share(self, share: Share) -> None:
        """Adopt other bounds, keeping within them what was learnt."""
        if share != self._share:
            self._share = share
            self._limit = min(share.most, max(share.fair, self._limit))

    def has_room(self, request_class: preset.RequestClass) -> bool:
        """Return whether one more request of a class may go to the server."""
        if self.outstanding >= self._limit:
            return False
        is_long = request_class is preset.RequestClass.LONG
        return not is_long or self.outstanding_long < self.long_limit

    def take(self, request_class: preset.RequestClass) -> None:
        """Note that a request goes to the server."""
        self.outstanding += 1
        self.outstanding_long += request_class is preset.RequestClass.LONG

    def give_back(self, request_class: preset.RequestClass) -> None:
        """Note that a request has left the server."""
        self.outstanding -= 1
        self.outstanding_long -= request_class is preset.RequestClass.LONG

    def adapt(
        self,
        attempt: attempts.Attempt,
        request_class: preset.RequestClass,
        duration_s: float,
        *,
        wanted: bool,
    ) -> None:
        """Adapt the limit to how a request ended.

        Parameters
        ----------
        wanted
            Whether other work waits, without which the limit need not grow.
        """
        if isinstance(attempt, attempts.AttemptNotRun):
            if attempt.reason is outcomes.RefusalReason.SERVER_SHED:
                self._decrease(least=1)
        elif request_class is preset.RequestClass.SHORT:
            self._note_duration(duration_s, wanted=wanted)

    def _note_duration(self, duration_s: float, *, wanted: bool) -> None:
        self._base_s = min(duration_s, self._base_s * BASE_DRIFT)
        self._answers += 1
        self._inflated += duration_s > INFLATION * self._base_s
        if self._answers < WINDOW:
            return
        if self._inflated > MOST_INFLATED * self._answers:
            self._decrease(least=min(self._share.fair, self._limit))
        elif wanted:
            self._limit = min(self._share.most, self._limit + 1)
        self._answers = 0
        self._inflated = 0

    def _decrease(self, *, least: int) -> None:
        self._limit = max(least, int(self._limit * DECREASE))
        self._answers = 0
        self._inflated = 0
