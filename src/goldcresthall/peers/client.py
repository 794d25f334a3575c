"""Client side of a connection to a peer."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import TypeVar

from thrift.protocol import TProtocol
from thrift.transport import TSocket
from thrift.transport import TTransport

from goldcresthall.core import identity
from goldcresthall.generated.peer import Peer
from goldcresthall.generated.peer import constants
from goldcresthall.generated.peer import ttypes
from goldcresthall.peers import exceptions
from goldcresthall.peers import heat_encoding
from goldcresthall.peers import messages
from goldcresthall.peers import peer_metrics
from goldcresthall.peers import transport
from goldcresthall.replication import state_encoding
from thrift import Thrift

if TYPE_CHECKING:
    from collections.abc import Callable

    from goldcresthall.core import heat
    from goldcresthall.replication import state as replicated

MS_PER_S = 1_000
CURRENT_STATE_OFFSET = -1
Result = TypeVar("Result")


class PeerConnection:
    """A Thrift connection to one peer; must not be shared between tasks."""

    def __init__(
        self,
        entry: identity.InstanceEntry,
        timeout_ms: int,
        metrics: peer_metrics.PeerMetrics | None = None,
    ) -> None:
        self._entry = entry
        self._timeout_ms = timeout_ms
        self._metrics = metrics or peer_metrics.PeerMetrics.create_unregistered()
        address = entry.peer_address
        self._socket = TSocket.TSocket(address.host, address.port)
        self._socket.setTimeout(timeout_ms)
        self._client = Peer.Client(transport.create_protocol(self._socket, self._metrics))

    def open(self, own: identity.Incarnation, failure_domain: str) -> identity.Incarnation:
        """Connect, exchange greetings and return the peer's incarnation.

        Raises
        ------
        PeerUnreachableError
            If the peer does not respond.
        PeerVersionError
            If the peer uses another protocol version.
        """
        self._call("connect", self._socket.open)
        greeting = ttypes.Greeting(
            protocol_version=constants.PROTOCOL_VERSION,
            name=own.name,
            incarnation=own.token,
            failure_domain=failure_domain,
        )
        reply = self._call("greet", lambda: self._client.greet(greeting))
        if reply.protocol_version != constants.PROTOCOL_VERSION:
            detail = f"peer uses protocol version {reply.protocol_version}"
            raise exceptions.PeerVersionError("greet", self._entry.name, detail)
        return identity.Incarnation(reply.name, reply.incarnation)

    def report_status(self) -> messages.PeerStatus:
        """Return the peer's status and the uptake rows that it forwards.

        Raises
        ------
        PeerUnreachableError
            If the peer does not respond.
        """
        self._socket.setTimeout(self._timeout_ms)
        report = self._call("report_status", self._client.report_status)
        return messages.PeerStatus(
            name=report.name,
            incarnation=report.incarnation,
            next_offset=report.next_offset,
            preset_offset=report.preset_offset,
            chain=report.chain,
            usable=report.usable,
            uptake=tuple(
                messages.UptakeRow(row.name, row.incarnation, row.preset_offset, row.age_ms)
                for row in report.uptake
            ),
        )

    def report_heat(self) -> heat.HeatReport:
        """Return the request rates of keyed services, as counted by the peer.

        Raises
        ------
        PeerUnreachableError
            If the peer does not respond.
        """
        return heat_encoding.decode_report(self._call("report_heat", self._client.report_heat))

    def relay_records(self, from_offset: int, limit: int, wait_ms: int) -> messages.RelayedRecords:
        """Fetch committed log entries from an offset on.

        Raises
        ------
        PeerUnreachableError
            If the peer does not respond.
        PeerRangeError
            If the peer does not retain that offset.
        """
        self._socket.setTimeout(self._timeout_ms + wait_ms)
        page = self._call(
            "relay_records", lambda: self._client.relay_records(from_offset, limit, wait_ms)
        )
        self._metrics.count_relayed(len(page.entries))
        return messages.RelayedRecords(
            page.first_offset, tuple(page.entries), page.fresh, page.next_offset, page.usable
        )

    def fetch_state(self) -> replicated.State:
        """Fetch the peer's state and verify the digest of each piece and of the whole.

        Raises
        ------
        PeerUnreachableError
            If the peer does not respond.
        PeerStateError
            If the peer has no usable state, or a piece is corrupt.
        """
        first = self._fetch_piece(CURRENT_STATE_OFFSET, 0)
        pieces = [first.content]
        for index in range(1, first.count):
            pieces.append(self._fetch_piece(first.next_offset, index).content)
        try:
            return state_encoding.decode_state(tuple(pieces), first.state_digest)
        except state_encoding.StateDecodeError as error:
            raise exceptions.PeerStateError("fetch_state", self._entry.name, str(error)) from error

    def list_instances(self) -> tuple[identity.InstanceEntry, ...]:
        """Return the peer's copy of the platform's instance list.

        Raises
        ------
        PeerUnreachableError
            If the peer does not respond.
        """
        listed_entries = self._call("list_instances", self._client.list_instances)
        return tuple(
            identity.InstanceEntry(
                entry.name,
                entry.failure_domain,
                identity.Address(entry.host, entry.port),
                identity.InstanceStatus.LIVE if entry.live else identity.InstanceStatus.LEAVING,
            )
            for entry in listed_entries
        )

    def close(self) -> None:
        """Close the connection."""
        self._socket.close()

    def _fetch_piece(self, next_offset: int, index: int) -> messages.StatePiece:
        self._socket.setTimeout(self._timeout_ms)
        piece = self._call("fetch_state", lambda: self._client.fetch_state(next_offset, index))
        digest = state_encoding.compute_digest(piece.content.encode())
        if digest != piece.content_digest or piece.index != index:
            detail = f"piece {index} of {piece.count} is corrupt"
            raise exceptions.PeerStateError("fetch_state", self._entry.name, detail)
        return messages.StatePiece(
            piece.next_offset,
            piece.index,
            piece.count,
            piece.content,
            piece.content_digest,
            piece.state_digest,
        )

    def _call(self, step: str, function: Callable[[], Result]) -> Result:
        peer = self._entry.name
        try:
            return function()
        except ttypes.VersionMismatch as error:
            raise exceptions.PeerVersionError(step, peer, str(error)) from error
        except ttypes.RangeUnavailable as error:
            raise exceptions.PeerRangeError(step, peer, str(error)) from error
        except ttypes.StateUnavailable as error:
            raise exceptions.PeerStateError(step, peer, str(error)) from error
        except (
            Thrift.TException,
            TProtocol.TProtocolException,
            TTransport.TTransportException,
            OSError,
            EOFError,
            ValueError,
            TypeError,
            OverflowError,
        ) as error:
            raise exceptions.PeerUnreachableError(step, peer, str(error)) from error
