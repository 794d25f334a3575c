"""Stateful test of replay: every replica derives the same state from the log."""

from __future__ import annotations

import dataclasses

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from goldcresthall.core import identity
from goldcresthall.core import preset
from goldcresthall.core import records
from goldcresthall.encoding import log_entries
from goldcresthall.log_service import log_client
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
    """Several replicas of one log, each replayed up to its own offset."""

    def __init__(self) -> None:
        super().__init__()
        self.log = log.InMemoryLog()
        self.states = [replicated.State.create_empty() for _ in range(REPLICAS)]
        self.entries: list[bytes] = []
        self.expected = [replicated.State.create_empty()]
        self.number = 0

    def append(self, record: records.Record) -> None:
        self.append_raw(log_entries.encode_record(record))

    def append_raw(self, entry: bytes) -> None:
        self.entries.append(entry)
        self.log.append((entry,))
        self.expected.append(replay.replay_entry(entry, self.expected[-1]).state)

    def create_record_id(self) -> str:
        self.number += 1
        return f"record-{self.number}"

    @stateful.rule(author=replicas, base_lag=strategies.integers(0, 3))
    def publish(self, author: int, base_lag: int) -> None:
        record_id = self.create_record_id()
        self.append(
            records.PresetPublished(
                record_id=record_id,
                base=max(0, self.states[author].next_offset - base_lag),
                author=f"operator-{author}",
                reason="test",
                preset=create_preset(record_id),
            )
        )

    @stateful.rule(author=replicas, server=servers, lessor=instances)
    def appoint(self, author: int, server: str, lessor: identity.Incarnation) -> None:
        self.append(
            records.LessorsAppointed(
                record_id=self.create_record_id(),
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
        server_state = state.servers.get(owner)
        self.append(
            records.PartitionsMoved(
                record_id=self.create_record_id(),
                base=state.next_offset,
                author="router",
                reason="test",
                moves=(records.PartitionMove("archive", partition, owner, successor),),
                lessor=server_state.lessor if server_state else INSTANCES[0],
                lessor_epoch=server_state.epoch if server_state else 0,
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
        self.append_raw(entry[: data.draw(strategies.integers(0, max(0, len(entry) - 1)))])

    def create_chunks(self, author: int, length: int) -> tuple[records.Record, ...]:
        encoded = state_encoding.encode_state(self.states[author])
        text = "".join(encoded.pieces)
        pieces = tuple(text[start : start + length] for start in range(0, len(text), length))
        resized = dataclasses.replace(encoded, pieces=pieces)
        chunks = snapshot_writer.create_chunks(resized, f"router-{author}", "test")
        # Random ids would make the compressed length of a state, and so the drawn lengths,
        # differ between runs of the same steps.
        snapshot_id = self.create_record_id()
        return tuple(
            dataclasses.replace(chunk, record_id=self.create_record_id(), snapshot_id=snapshot_id)
            for chunk in chunks
        )

    @stateful.rule(author=replicas, length=strategies.sampled_from([150, 400, 100_000]))
    def write_snapshot(self, author: int, length: int) -> None:
        for chunk in self.create_chunks(author, length):
            self.append(chunk)

    @stateful.rule(author=replicas, other=replicas, written=strategies.integers(0, 4))
    def write_concurrent_snapshots(self, author: int, other: int, written: int) -> None:
        """Two instances write snapshots concurrently; the second may stop halfway."""
        first = self.create_chunks(author, 150)
        second = self.create_chunks(other, 150)[:written]
        for index in range(max(len(first), len(second))):
            for chunk in (*first[index : index + 1], *second[index : index + 1]):
                self.append(chunk)

    @stateful.rule(replica=replicas, limit=strategies.integers(1, 6))
    def replay_page(self, replica: int, limit: int) -> None:
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
        """Restart a replica from the beginning of the log, a snapshot or a peer's state."""
        if isinstance(self.log.read(0, 1, 0), log_client.LogPage):
            self.states[replica] = replicated.State.create_empty()
        elif not self.try_install_snapshot(replica):
            self.install_peer_state(replica)

    @stateful.rule(replica=replicas)
    def install_snapshot(self, replica: int) -> None:
        """Restart a replica from the newest usable snapshot even if no entry has expired."""
        self.try_install_snapshot(replica)

    def try_install_snapshot(self, replica: int) -> bool:
        page = self.log.read(len(self.entries), 1, 0)
        assert isinstance(page, log_client.LogPage)
        search = snapshot_reader.find_snapshot(self.log, page.begin_offset)
        if not isinstance(search, snapshot_reader.FoundSnapshot):
            return False
        assert search.state.next_offset >= page.begin_offset
        self.states[replica] = search.state
        return True

    @stateful.rule(replica=replicas)
    def install_peer_state(self, replica: int) -> None:
        encoded = state_encoding.encode_state(self.states[(replica + 1) % REPLICAS])
        self.states[replica] = state_encoding.decode_state(encoded.pieces, encoded.state_digest)

    @stateful.rule(data=strategies.data())
    def expire(self, data: strategies.DataObject) -> None:
        slowest = min(state.next_offset for state in self.states)
        self.log.expire_before(data.draw(strategies.integers(0, slowest)))

    @stateful.invariant()
    def states_agree(self) -> None:
        """Check that each state equals the replay of the log up to the state's offset."""
        for state in self.states:
            assert state == self.expected[state.next_offset]

    @stateful.invariant()
    def epochs_and_preset_offsets_never_decrease(self) -> None:
        before, after = self.expected[-2:] if len(self.expected) > 1 else self.expected * 2
        if before.preset_in_force is not None:
            assert after.preset_in_force is not None
            assert after.preset_in_force.offset >= before.preset_in_force.offset
        for partition, owned in before.partitions.items():
            assert after.partitions[partition].epoch >= owned.epoch


TestReplayMachine = ReplayMachine.TestCase
TestReplayMachine.settings = hypothesis.settings(max_examples=60, stateful_step_count=30)
