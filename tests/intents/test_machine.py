"""Stateful test: at most one effect per key under crashes, lag and lost responses."""

from __future__ import annotations

import collections

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from goldcresthall.core import identity
from goldcresthall.core import intents
from goldcresthall.core import outcomes
from goldcresthall.encoding import log_entries
from tests.fakes import clock as clocks
from tests.fakes import log as logs
from tests.fakes import stepped_replica as replicas
from tests.intents import conftest as doubles

INSTANCE_COUNT = 3
ATTEMPT_RESULTS = (
    "answered",
    "refused",
    "lost",
    "lost_without_effect",
    "crashed",
    "crashed_without_effect",
)
WITHOUT_EFFECT = {"refused", "lost_without_effect", "crashed_without_effect"}


class CrashError(Exception):
    """The instance crashes while it handles a request."""


class IntentMachine(stateful.RuleBasedStateMachine):
    """Runs requests with few keys through several instances in random orders of events.

    A request that runs during the commit or dispatch of another simulates a race.
    """

    keys = stateful.Bundle("keys")
    numbers = strategies.integers(0, INSTANCE_COUNT - 1)

    def __init__(self) -> None:
        super().__init__()
        self.log = logs.InMemoryLog()
        self.clock = clocks.ManualClock()
        self.instances = [self.start_instance(number) for number in range(INSTANCE_COUNT)]
        self.effects: collections.Counter[str] = collections.Counter()

    def start_instance(self, number: int) -> doubles.FakeInstance:
        return doubles.FakeInstance(f"router-{number}", self.log, self.clock)

    @stateful.rule(target=keys, number=numbers)
    def issue_key(self, number: int) -> str:
        return self.instances[number].create_key()

    @stateful.rule(target=keys, ahead=strategies.integers(0, 6))
    def create_key_ahead(self, ahead: int) -> str:
        return f"{len(self.log.entries) + ahead}.{identity.create_record_id()}"

    @stateful.rule(
        key=keys,
        number=numbers,
        result=strategies.sampled_from(ATTEMPT_RESULTS),
        behavior=strategies.sampled_from(replicas.AppendBehavior),
        races=strategies.tuples(
            strategies.none() | numbers, strategies.none() | numbers, strategies.booleans()
        ),
    )
    def run_request(
        self,
        key: str,
        number: int,
        result: str,
        behavior: replicas.AppendBehavior,
        races: tuple[int | None, int | None, bool],
    ) -> None:
        at_commit, at_dispatch, holds_conclusions = races
        instance = self.instances[number]
        instance.replica.append_behavior = behavior
        instance.writer.is_holding_records = holds_conclusions
        instance.replica.before_append = lambda: self.race(key, at_commit, instance)
        try:
            self.send(key, instance, result, at_dispatch)
        except CrashError:
            self.instances[number] = self.start_instance(number)
            instance.stop()
        instance.replica.before_append = lambda: None
        instance.replica.append_behavior = replicas.AppendBehavior.DONE

    def race(
        self, key: str, number: int | None, instance_in_progress: doubles.FakeInstance
    ) -> None:
        """Send the same request through any instance during another attempt."""
        if number is None:
            return
        instance_in_progress.replica.before_append = lambda: None
        previous_behavior, instance_in_progress.replica.append_behavior = (
            instance_in_progress.replica.append_behavior,
            replicas.AppendBehavior.DONE,
        )
        self.send(key, self.instances[number], "answered", None)
        instance_in_progress.replica.append_behavior = previous_behavior

    def send(
        self, key: str, instance: doubles.FakeInstance, result: str, at_dispatch: int | None
    ) -> None:
        own_effects = []

        def attempt() -> outcomes.Outcome:
            self.race(key, at_dispatch, instance)
            if result not in WITHOUT_EFFECT:
                self.effects[key] += 1
                own_effects.append(key)
            if result.startswith("crashed"):
                raise CrashError
            return {"answered": doubles.answer, "refused": doubles.refuse}.get(
                result, doubles.lose_response
            )()

        outcome = instance.run(key, attempt)
        if isinstance(outcome, outcomes.Answered):
            assert self.effects[key] == 1
        if isinstance(outcome, outcomes.Refused):
            assert not own_effects

    @stateful.rule(number=numbers)
    def catch_up(self, number: int) -> None:
        self.instances[number].replica.catch_up()

    @stateful.rule(number=numbers)
    def append_late(self, number: int) -> None:
        self.instances[number].replica.append_delayed()

    @stateful.rule(number=numbers)
    def conclude_late(self, number: int) -> None:
        self.instances[number].writer.append_held_records()

    @stateful.rule(share=strategies.floats(0, 1))
    def forget(self, share: float) -> None:
        end_offset = len(self.log.entries)
        record = intents.IntentsForgotten(
            record_id=identity.create_record_id(),
            base=end_offset,
            author="test",
            reason="test",
            below=round(end_offset * share),
        )
        self.log.append((log_entries.encode_record(record),))

    @stateful.invariant()
    def no_key_has_two_effects(self) -> None:
        assert not [key for key, count in self.effects.items() if count > 1]

    def teardown(self) -> None:
        for instance in self.instances:
            instance.stop()


IntentMachine.TestCase.settings = hypothesis.settings(
    max_examples=150, stateful_step_count=30, deadline=None
)
TestIntents = IntentMachine.TestCase
