"""One connection to one peer."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import TypeVar

from thrift.transport import TSocket
from thrift.transport import TTransport

from goldcresthall.generated.peer import Peer
from goldcresthall.generated.peer import constants
from goldcresthall.generated.peer import ttypes
from goldcresthall.peers import exceptions
from goldcresthall.peers import heat_encoding
from goldcresthall.peers import messages
from goldcresthall.peers import transport
from thrift import Thrift

if TYPE_CHECKING:
    from collections.abc import Callable

    from goldcresthall.core import heat
    from goldcresthall.core import identity

MS_PER_S = 1_000
Result = TypeVar("Result")


class PeerConnection:
    """A thrift connection to a peer; not to be shared between tasks."""

    def __init__(self, entry: identity.InstanceEntry, timeout_ms: int) -> None:
        self._entry = entry
        self._timeout_ms = timeout_ms
        address = entry.peer_address
        self._socket = TSocket.TSocket(address.host, address.port)
        self._socket.setTimeout(timeout_ms)
        self._client = Peer.Client(transport.create_protocol(self._socket))

    def open(self, own: identity.Incarnation, failure_domain: str) -> identity.Incarnation:
        """Connect, exchange greetings and return the peer's incarnation.

        Raises
        ------
        PeerUnreachableError
            If the peer does not answer.
        PeerVersionError
            If the peer speaks another version.
        """
        self._call("connect", self._socket.open)
        greeting = ttypes.Greeting(
            protocol_version=constants.PROTOCOL_VERSION,
            name=own.name,
            incarnation=own.token,
            failure_domain=failure_domain,
        )
        answer = self._call("greet", lambda: self._client.greet(greeting))
        return type(own)(answer.name, answer.incarnation)

    def report_status(self) -> messages.PeerStatus:
        """Return what the peer has taken up.

        Raises
        ------
        PeerUnreachableError
            If the peer does not answer.
        """
        report = self._call("report_status", self._client.report_status)
        return messages.PeerStatus(
            name=report.name,
            incarnation=report.incarnation,
            next_offset=report.next_offset,
            preset_offset=report.preset_offset,
            state_digest=report.state_digest,
            digest_offset=report.digest_offset,
        )

    def report_heat(self) -> heat.HeatReport:
        """Return what the peer's keyed services draw, as it counts.

        Raises
        ------
        PeerUnreachableError
            If the peer does not answer.
        """
        return heat_encoding.decode_report(self._call("report_heat", self._client.report_heat))

    def relay_records(self, from_offset: int, limit: int, wait_ms: int) -> messages.RelayedRecords:
        """Ask the peer for committed entries from an offset on.

        Raises
        ------
        PeerUnreachableError
            If the peer does not answer or does not keep that offset.
        """
        self._socket.setTimeout(self._timeout_ms + wait_ms)
        page = self._call(
            "relay_records", lambda: self._client.relay_records(from_offset, limit, wait_ms)
        )
        return messages.RelayedRecords(page.first_offset, tuple(page.entries), page.fresh)

    def close(self) -> None:
        """Close the connection."""
        self._socket.close()

    def _call(self, step: str, function: Callable[[], Result]) -> Result:
        try:
            return function()
        except ttypes.VersionMismatch as error:
            raise exceptions.PeerVersionError(step, self._entry.name, str(error)) from error
        except (
            Thrift.TException,
            TTransport.TTransportException,
            OSError,
            EOFError,
            ValueError,
        ) as error:
            raise exceptions.PeerUnreachableError(step, self._entry.name, str(error)) from error
