"""Random runs near two faults: an earlier lessor beside restarts, and copied acknowledgements.

The stateful test has all of their rules, but rarely draws them close together.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Final

import hypothesis
from hypothesis import strategies

from goldcresthall.ranges import membership
from tests.fakes import range_simulation

if TYPE_CHECKING:
    from collections.abc import Callable

SERVERS = 4
BUSY_KEYS = 8


class FaultyRun:
    """A simulation and the events that may befall one of its servers.

    Parameters
    ----------
    lessor
        Number of the instance whose channel and statistics the events concern.
    """

    def __init__(self, simulation: range_simulation.RangeSimulation, lessor: int) -> None:
        self._simulation = simulation
        self._instance = simulation.instances[lessor]

    def drain(self, index: int) -> None:
        """Register a server as draining."""
        self._register(index, draining=True)

    def stay(self, index: int) -> None:
        """Register a server as ready."""
        self._register(index, draining=False)

    def restart(self, index: int) -> None:
        """Start a server again, which registers at once."""
        self._simulation.start_server(f"server-{index}")

    def restart_unregistered(self, index: int) -> None:
        """Start a server again, which does not register."""
        self._simulation.start_server(f"server-{index}", registers=False)

    def load(self, index: int) -> None:
        """Report many requests for the keys that a server had first."""
        first = index * len(range_simulation.SAMPLED_KEYS) // SERVERS
        busy = range_simulation.SAMPLED_KEYS[first : first + BUSY_KEYS]
        self._simulation.count_requests(self._instance, busy * 10)

    def acknowledge_early(self, index: int) -> None:
        """Let a server write copied acknowledgements and execute grants later."""
        self._instance.channel.acknowledges_early.add(f"server-{index}")

    def acknowledge_truly(self, index: int) -> None:
        """Let a server acknowledge what it has executed."""
        self._instance.channel.acknowledges_early.discard(f"server-{index}")

    def reject_connections(self, index: int) -> None:
        """Let a server reject new connections."""
        self._instance.channel.rejects_connections.add(f"server-{index}")

    def accept_connections(self, index: int) -> None:
        """Let a server accept new connections."""
        self._instance.channel.rejects_connections.discard(f"server-{index}")

    def deliver(self, _: int) -> None:
        """Execute all late grants."""
        self._simulation.deliver_delayed_grants()

    def _register(self, index: int, *, draining: bool) -> None:
        running = self._simulation.find_running(f"server-{index}")
        assert running is not None
        self._simulation.register_server(running.incarnation, draining=draining)


RunEvent = tuple["Callable[[FaultyRun, int], None]", int, int]
SUCCESSION_EVENTS: Final = (
    FaultyRun.drain,
    FaultyRun.restart,
    FaultyRun.restart_unregistered,
    FaultyRun.load,
)
COPY_EVENTS: Final = (
    FaultyRun.acknowledge_early,
    FaultyRun.acknowledge_truly,
    FaultyRun.reject_connections,
    FaultyRun.accept_connections,
    FaultyRun.drain,
    FaultyRun.stay,
    FaultyRun.restart_unregistered,
    FaultyRun.load,
    FaultyRun.deliver,
)


def draw_events(
    kinds: tuple[Callable[[FaultyRun, int], None], ...],
) -> strategies.SearchStrategy[list[RunEvent]]:
    """Draw events, each with the number of a server and the tenths of a second that follow it."""
    event = strategies.tuples(
        strategies.sampled_from(kinds), strategies.integers(0, 1), strategies.integers(1, 9)
    )
    return strategies.lists(event, min_size=6, max_size=16)


def play(
    run: FaultyRun, simulation: range_simulation.RangeSimulation, events: list[RunEvent]
) -> None:
    """Let the events happen; the simulation checks the holders after each step."""
    for befall, index, tenths in events:
        befall(run, index)
        simulation.advance(tenths / 10)
    simulation.deliver_delayed_grants()


@hypothesis.settings(max_examples=40, deadline=None)
@hypothesis.given(phase_tenths=strategies.integers(0, 9), events=draw_events(SUCCESSION_EVENTS))
def test_lessor_that_was_cut_off_makes_no_second_holder(
    phase_tenths: int, events: list[RunEvent]
) -> None:
    """A restarted server took keys that were given on by the earlier lessor's renewal (OWNER)."""
    simulation = range_simulation.RangeSimulation()
    first, second = simulation.instances
    first.take_over()
    simulation.advance(membership.STABILIZATION_WINDOW_S + 1.0 + phase_tenths / 10)
    first.store.is_down = True
    first.sees_changes = False
    second.take_over()
    simulation.advance(0.3)
    play(FaultyRun(simulation, lessor=1), simulation, events)


@hypothesis.settings(max_examples=40, deadline=None)
@hypothesis.given(events=draw_events(COPY_EVENTS))
def test_copied_acknowledgements_make_no_second_holder(events: list[RunEvent]) -> None:
    """A server took keys again by a grant that it had seemed to acknowledge before (OWNER)."""
    simulation = range_simulation.RangeSimulation(instance_count=1)
    simulation.instances[0].take_over()
    simulation.advance(membership.STABILIZATION_WINDOW_S + 1.0)
    play(FaultyRun(simulation, lessor=0), simulation, events)
