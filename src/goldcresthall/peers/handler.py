"""Server side of a connection from a peer."""

from __future__ import annotations

from typing import TYPE_CHECKING

from goldcresthall.core import identity
from goldcresthall.generated.peer import constants
from goldcresthall.generated.peer import ttypes
from goldcresthall.peers import heat_encoding
from goldcresthall.replication import state_encoding

if TYPE_CHECKING:
    from goldcresthall.kernel import clock
    from goldcresthall.log_service import instance_list
    from goldcresthall.ownership import heat
    from goldcresthall.peers import peer_metrics
    from goldcresthall.peers import uptake_table
    from goldcresthall.replication import log_replica

MS_PER_S = 1_000
NO_PRESET_OFFSET = -1
MAX_RELAY_WAIT_MS = 5_000
MAX_RELAYED_ENTRIES = 500
MAX_PEER_NAME_CHARS = 64


class PeerHandler:
    """Handles the calls of one peer from the local replica; keeps state per connection."""

    def __init__(
        self,
        *,
        incarnation: identity.Incarnation,
        failure_domain: str,
        log_replica: log_replica.LogReplica,
        listed_instances: instance_list.InstanceList,
        monotonic_clock: clock.Clock,
        cursor: uptake_table.UptakeCursor,
        metrics: peer_metrics.PeerMetrics,
        heat_counter: heat.HeatCounter,
        peer_address: str,
    ) -> None:
        self._incarnation = incarnation
        self._failure_domain = failure_domain
        self._replica = log_replica
        self._list = listed_instances
        self._clock = monotonic_clock
        self._cursor = cursor
        self._metrics = metrics
        self._heat = heat_counter
        self._peer = peer_address
        self._encoded: state_encoding.EncodedState | None = None

    @property
    def peer(self) -> str:
        """Name of the peer after its greeting, its address before."""
        return self._peer

    def greet(self, greeting: ttypes.Greeting) -> ttypes.Greeting:
        """Check the peer's protocol version and return this instance's greeting."""
        if greeting.protocol_version != constants.PROTOCOL_VERSION:
            self._metrics.count_fault("greet", self._peer, "version")
            raise ttypes.VersionMismatch(
                expected=constants.PROTOCOL_VERSION, received=greeting.protocol_version
            )
        self._peer = greeting.name[:MAX_PEER_NAME_CHARS]
        return ttypes.Greeting(
            protocol_version=constants.PROTOCOL_VERSION,
            name=self._incarnation.name,
            incarnation=self._incarnation.token,
            failure_domain=self._failure_domain,
        )

    def report_status(self) -> ttypes.StatusReport:
        """Return this instance's status and a bounded set of uptake rows of others."""
        state = self._replica.state
        in_force = state.preset_in_force
        rows = self._cursor.next_rows(self._clock.read_s())
        return ttypes.StatusReport(
            name=self._incarnation.name,
            incarnation=self._incarnation.token,
            next_offset=state.next_offset,
            preset_offset=NO_PRESET_OFFSET if in_force is None else in_force.offset,
            chain=state.chain,
            usable=self._replica.condition.is_usable,
            uptake=[
                ttypes.UptakeRow(row.name, row.incarnation, row.preset_offset, row.age_ms)
                for row in rows
            ],
        )

    def report_heat(self) -> ttypes.HeatReport:
        """Return the request rates of keyed services, as counted by this instance."""
        return heat_encoding.encode_report(self._heat.report)

    def relay_records(self, from_offset: int, limit: int, wait_ms: int) -> ttypes.RecordPage:
        """Return committed entries; `fresh` if a read begun after the request found no others."""
        requested_at_s = self._clock.read_s()
        fresh = self._replica.wait_for_fresh_read(
            requested_at_s, min(wait_ms, MAX_RELAY_WAIT_MS) / MS_PER_S
        )
        entries = self._replica.read_recent_entries(from_offset, min(limit, MAX_RELAYED_ENTRIES))
        next_offset = self._replica.state.next_offset
        if entries is None:
            raise ttypes.RangeUnavailable(begin_offset=next_offset)
        self._metrics.count_relayed(len(entries))
        complete = from_offset + len(entries) >= next_offset
        return ttypes.RecordPage(
            first_offset=from_offset,
            entries=list(entries),
            fresh=fresh and complete,
            next_offset=next_offset,
            usable=self._replica.condition.is_usable,
        )

    def fetch_state(self, next_offset: int, index: int) -> ttypes.StatePiece:
        """Return one piece of a state; piece 0 starts the transfer of the current state."""
        if index == 0:
            self._encoded = self._encode_state()
        encoded = self._encoded
        if encoded is None or not 0 <= index < len(encoded.pieces):
            raise ttypes.StateUnavailable(condition="no such piece")
        if index > 0 and next_offset != encoded.next_offset:
            raise ttypes.StateUnavailable(condition="another state is being fetched")
        if index + 1 == len(encoded.pieces):
            self._encoded = None
        content = encoded.pieces[index]
        return ttypes.StatePiece(
            next_offset=encoded.next_offset,
            index=index,
            count=len(encoded.pieces),
            content=content,
            content_digest=state_encoding.compute_digest(content.encode()),
            state_digest=encoded.state_digest,
        )

    def list_instances(self) -> list[ttypes.ListedInstance]:
        """Return this instance's copy of the platform's instance list."""
        return [
            ttypes.ListedInstance(
                name=entry.name,
                failure_domain=entry.failure_domain,
                host=entry.peer_address.host,
                port=entry.peer_address.port,
                live=entry.status is identity.InstanceStatus.LIVE,
            )
            for entry in self._list.listing.instances
            if entry.role is identity.InstanceRole.ROUTER
        ]

    def _encode_state(self) -> state_encoding.EncodedState:
        condition = self._replica.condition
        if not condition.is_usable:
            raise ttypes.StateUnavailable(condition=str(condition))
        return state_encoding.encode_state(self._replica.state)
