"""Thrift client for calls between instances."""

from __future__ import annotations

import errno
from typing import TYPE_CHECKING
from typing import TypeVar

from thrift.transport import TSocket
from thrift.transport import TTransport

from goldcresthall.core import identity
from goldcresthall.generated.lessor import Lessor
from goldcresthall.peers import peer_metrics
from goldcresthall.peers import transport
from goldcresthall.ranges import report_encoding
from goldcresthall.ranges import reports
from thrift import Thrift

if TYPE_CHECKING:
    from collections.abc import Callable

    from goldcresthall.core import key_ranges

MS_PER_S = 1_000
Result = TypeVar("Result")


class ThriftPeerChannel(reports.PeerChannel):
    """A Thrift connection to a peer.

    Parameters
    ----------
    timeout_s
        Timeout of each call in seconds.
    metrics
        Counters of the bytes sent and received.

    Raises
    ------
    UnreachableError
        If the connection cannot be opened.
    """

    def __init__(
        self, address: identity.Address, timeout_s: float, metrics: peer_metrics.PeerMetrics
    ) -> None:
        self._socket = TSocket.TSocket(address.host, address.port)
        self._socket.setTimeout(int(timeout_s * MS_PER_S))
        self._client = Lessor.Client(transport.create_protocol(self._socket, metrics))
        self._call(self._socket.open)

    def report(self, report: reports.Report) -> reports.Reply:
        """Report to a lessor, which may delay the reply until there is a change."""
        return report_encoding.decode_reply(
            self._call(lambda: self._client.report(report_encoding.encode_report(report)))
        )

    def ask_presence(self) -> reports.Presence:
        """Return a peer's incarnation and how long ago the lessor replied to it."""
        presence = self._call(self._client.ask_presence)
        return reports.Presence(
            identity.Incarnation(presence.name, presence.incarnation),
            presence.heard_lessor_ms / MS_PER_S,
        )

    def request_step_down(self, term: int, successor: key_ranges.LessorIdentity) -> bool:
        """Tell a lessor that a later term has begun; return whether it sends no further grants."""
        encoded = report_encoding.encode_lessor(successor)
        return bool(self._call(lambda: self._client.stand_down(term, encoded)))

    def close(self) -> None:
        """Close the connection."""
        self._socket.close()

    def _call(self, call: Callable[[], Result]) -> Result:
        try:
            return call()
        except TTransport.TTransportException as error:
            self._socket.close()
            raise reports.UnreachableError(str(error), is_refused=_is_refused(error)) from error
        except (*transport.DECODE_ERRORS, Thrift.TException, OSError, EOFError) as error:
            self._socket.close()
            raise reports.UnreachableError(str(error), is_refused=False) from error


class ThriftPeerDialer(reports.PeerDialer):
    """Opens Thrift connections to peers."""

    def __init__(self, metrics: peer_metrics.PeerMetrics) -> None:
        self._metrics = metrics

    def start(self) -> None:
        """Do nothing; connections are opened on demand."""

    def stop(self) -> None:
        """Do nothing."""

    def dial(self, address: identity.Address, timeout_s: float) -> reports.PeerChannel:
        """Return an open connection with a timeout of `timeout_s` seconds for each call."""
        return ThriftPeerChannel(address, timeout_s, self._metrics)


def _is_refused(error: TTransport.TTransportException) -> bool:
    cause = error.inner
    return isinstance(cause, OSError) and cause.errno == errno.ECONNREFUSED
