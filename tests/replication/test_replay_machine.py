"""A state machine over replay: whatever happens, one log gives one state everywhere."""

from __future__ import annotations

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from goldcresthall.core import identity
from goldcresthall.core import preset
from goldcresthall.core import records
from goldcresthall.encoding import log_entries
from goldcresthall.platform import log_client
from goldcresthall.replication import replay
from goldcresthall.replication import snapshot_reader
from goldcresthall.replication import snapshot_writer
from goldcresthall.replication import state as replicated
from goldcresthall.replication import state_encoding
from tests.fakes import log

REPLICAS = 3
SERVERS = ("archive-1", "archive-2", "archive-3")
INSTANCES = tuple(identity.Incarnation(f"router-{number}", "one") for number in range(3))
PARTITIONS = 3

replicas = strategies.integers(0, REPLICAS - 1)
servers = strategies.sampled_from(SERVERS)
instances = strategies.sampled_from(INSTANCES)
partitions = strategies.integers(0, PARTITIONS - 1)


def create_preset(name: str) -> preset.Preset:
    listed = tuple(
        preset.BackendServer(
            name=server, address=identity.Address("127.0.0.1", 9000), failure_domain="domain-a"
        )
        for server in SERVERS
    )
    policy = preset.ServicePolicy(name="archive", keyed=True, servers=listed, partitions=PARTITIONS)
    return preset.Preset(name=name, services=(policy,))


class ReplayMachine(stateful.RuleBasedStateMachine):
    """Several replicas follow one log, each as far as it has come."""

    def __init__(self) -> None:
        super().__init__()
        self.log = log.InMemoryLog()
        self.states = [replicated.State.create_empty() for _ in range(REPLICAS)]
        self.entries: list[bytes] = []
        self.preset_offsets = [-1] * REPLICAS
        self.number = 0

    def append(self, record: records.Record) -> None:
        self.append_raw(log_entries.encode_record(record))

    def append_raw(self, entry: bytes) -> None:
        self.entries.append(entry)
        self.log.append((entry,))

    def name_record(self) -> str:
        self.number += 1
        return f"record-{self.number}"

    @stateful.rule(author=replicas, back=strategies.integers(0, 3))
    def publish(self, author: int, back: int) -> None:
        record_id = self.name_record()
        self.append(
            records.PresetPublished(
                record_id=record_id,
                base=max(0, self.states[author].next_offset - back),
                author=f"operator-{author}",
                reason="test",
                preset=create_preset(record_id),
            )
        )

    @stateful.rule(author=replicas, server=servers, lessor=instances)
    def appoint(self, author: int, server: str, lessor: identity.Incarnation) -> None:
        self.append(
            records.LessorsAppointed(
                record_id=self.name_record(),
                base=self.states[author].next_offset,
                author=str(lessor),
                reason="test",
                choices=(records.LessorChoice(server, lessor),),
            )
        )

    @stateful.rule(
        author=replicas, partition=partitions, successor=servers, is_loss=strategies.booleans()
    )
    def move(self, author: int, partition: int, successor: str, *, is_loss: bool) -> None:
        state = self.states[author]
        owned = state.partitions.get(replicated.PartitionId("archive", partition))
        owner = owned.owner if owned else ""
        known = state.servers.get(owner)
        self.append(
            records.PartitionsMoved(
                record_id=self.name_record(),
                base=state.next_offset,
                author="router",
                reason="test",
                moves=(records.PartitionMove("archive", partition, owner, successor),),
                lessor=known.lessor if known else INSTANCES[0],
                lessor_epoch=known.epoch if known else 0,
                lost_server=owner if is_loss else "",
            )
        )

    @stateful.precondition(lambda self: self.entries)
    @stateful.rule(data=strategies.data())
    def duplicate(self, data: strategies.DataObject) -> None:
        self.append_raw(data.draw(strategies.sampled_from(self.entries)))

    @stateful.precondition(lambda self: self.entries)
    @stateful.rule(data=strategies.data())
    def truncate(self, data: strategies.DataObject) -> None:
        entry = data.draw(strategies.sampled_from(self.entries))
        self.append_raw(entry[: data.draw(strategies.integers(0, len(entry) - 1))])

    @stateful.rule(author=replicas, length=strategies.sampled_from([200, 400, 100_000]))
    def snapshot(self, author: int, length: int) -> None:
        encoded = state_encoding.encode_state(self.states[author])
        text = "".join(encoded.pieces)
        pieces = tuple(text[start : start + length] for start in range(0, len(text), length))
        cut = state_encoding.EncodedState(
            encoded.next_offset, encoded.state_digest, encoded.document_bytes, pieces
        )
        for chunk in snapshot_writer.create_chunks(cut, f"router-{author}", "test"):
            self.append(chunk)

    @stateful.rule(replica=replicas, limit=strategies.integers(1, 6))
    def follow(self, replica: int, limit: int) -> None:
        state = self.states[replica]
        page = self.log.read(state.next_offset, limit, 0)
        if isinstance(page, log_client.ReadExpired):
            self.restart(replica)
            return
        assert isinstance(page, log_client.LogPage)
        for entry in page.entries:
            state = replay.replay_entry(entry, state).state
        self.states[replica] = state

    @stateful.rule(replica=replicas)
    def restart(self, replica: int) -> None:
        """Start anew: from the log's beginning, a snapshot, or a peer's state."""
        empty = replicated.State.create_empty()
        page = self.log.read(0, 1, 0)
        if isinstance(page, log_client.LogPage):
            self.states[replica] = empty
            return
        assert isinstance(page, log_client.ReadExpired)
        found = snapshot_reader.find_snapshot(self.log, page.begin_offset)
        if isinstance(found, snapshot_reader.FoundSnapshot):
            self.states[replica] = found.state
            return
        encoded = state_encoding.encode_state(self.states[(replica + 1) % REPLICAS])
        self.states[replica] = state_encoding.decode_state(encoded.pieces, encoded.state_digest)

    @stateful.rule(data=strategies.data())
    def expire(self, data: strategies.DataObject) -> None:
        slowest = min(state.next_offset for state in self.states)
        self.log.expire_before(data.draw(strategies.integers(0, slowest)))

    @stateful.invariant()
    def states_agree(self) -> None:
        """Each replica's state is what replaying its prefix of the whole log gives."""
        for state in self.states:
            expected = replicated.State.create_empty()
            for entry in self.entries[: state.next_offset]:
                expected = replay.replay_entry(entry, expected).state
            assert state == expected

    @stateful.invariant()
    def epochs_and_presets_only_grow(self) -> None:
        state = replicated.State.create_empty()
        preset_offset = -1
        for entry in self.entries:
            before = state.partitions
            state = replay.replay_entry(entry, state).state
            if state.preset_in_force is not None:
                assert state.preset_in_force.offset >= preset_offset
                preset_offset = state.preset_in_force.offset
            for partition, owned in before.items():
                assert state.partitions[partition].epoch >= owned.epoch


TestReplayMachine = ReplayMachine.TestCase
TestReplayMachine.settings = hypothesis.settings(max_examples=40, stateful_step_count=30)
