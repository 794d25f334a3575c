"""Thrift encoding of reports to the lessor and of its replies."""

from __future__ import annotations

import math

from goldcresthall.core import configuration_documents
from goldcresthall.core import deployment
from goldcresthall.core import identity
from goldcresthall.core import key_ranges
from goldcresthall.core import row_changes
from goldcresthall.gateway import estimates
from goldcresthall.generated.lessor import ttypes
from goldcresthall.ranges import load_encoding
from goldcresthall.ranges import reports
from goldcresthall.ranges import request_counts

MS_PER_S = 1_000
US_PER_S = 1_000_000


def encode_report(report: reports.Report) -> ttypes.Report:
    """Encode a report as a Thrift struct."""
    return ttypes.Report(
        name=report.reporter.incarnation.name,
        incarnation=report.reporter.incarnation.token,
        host=report.reporter.address.host,
        port=report.reporter.address.port,
        known_term=report.known_term,
        known_revision=report.known_revision,
        counts=[ttypes.KeyCounts(counted.service, list(counted.keys)) for counted in report.counts],
        times=[
            ttypes.ServerTimes(
                sample.server.name,
                sample.server.started_ms,
                sample.count,
                int(sample.total_s * US_PER_S),
            )
            for sample in report.samples
        ],
        configuration=report.configuration,
        known_servers=report.known_servers,
        known_peers=report.known_peers,
        held_configuration=report.held_configuration,
        draining_servers=[
            ttypes.ServerIncarnation(server.name, server.started_ms)
            for server in report.draining_servers
        ],
        key_work=load_encoding.encode_key_work(report.key_work),
        route_times=load_encoding.encode_routes(report.route_samples),
        full_servers=load_encoding.encode_full_servers(report.full_servers),
        known_work=report.known_work,
        evacuated=load_encoding.encode_evacuated(report.evacuated),
    )


def decode_report(received: ttypes.Report) -> reports.Report:
    """Decode a report from a Thrift struct."""
    return reports.Report(
        reporter=key_ranges.LessorIdentity(
            identity.Incarnation(received.name, received.incarnation),
            identity.Address(received.host, received.port),
        ),
        known_term=received.known_term,
        known_revision=received.known_revision,
        counts=tuple(
            request_counts.CountedKeys(row.service_name, tuple(row.keys)) for row in received.counts
        ),
        samples=tuple(
            estimates.LatencySample(
                deployment.ServerIncarnation(row.server, row.started_ms),
                row.count,
                row.total_us / US_PER_S,
            )
            for row in received.times
        ),
        configuration=received.configuration,
        known_servers=received.known_servers,
        known_peers=received.known_peers,
        # An instance of an earlier release reads each version from the store itself.
        held_configuration=(
            received.configuration
            if received.held_configuration is None
            else received.held_configuration
        ),
        draining_servers=tuple(
            deployment.ServerIncarnation(row.name, row.started_ms)
            for row in received.draining_servers or ()
        ),
        key_work=load_encoding.decode_key_work(received.key_work),
        route_samples=load_encoding.decode_routes(received.route_times),
        full_servers=load_encoding.decode_full_servers(received.full_servers),
        known_work=(
            row_changes.NO_REVISION if received.known_work is None else received.known_work
        ),
        evacuated=load_encoding.decode_evacuated(received.evacuated),
    )


def encode_reply(reply: reports.Reply) -> ttypes.ReportReply:
    """Encode a reply as a Thrift struct."""
    return ttypes.ReportReply(
        is_lessor=reply.is_lessor,
        has_store=reply.has_store,
        peers=None if reply.peers is None else _encode_peers(reply.peers),
        owners=None if reply.owners is None else _encode_owners(reply.owners),
        configuration=reply.configuration,
        has_fresh_servers=reply.servers_known is not None,
        servers=None if reply.servers is None else _encode_servers(reply.servers),
        document=None if reply.document is None else _encode_document(reply.document),
        successor=None if reply.successor is None else encode_lessor(reply.successor),
        servers_position=None if reply.servers_known is None else reply.servers_known.position,
        servers_age_ms=_encode_age_ms(reply.servers_known),
        work=load_encoding.encode_work_table(reply.work),
        evacuated=load_encoding.encode_evacuated(reply.evacuated),
        full_servers=load_encoding.encode_full_servers(reply.full_servers),
        admissions=load_encoding.encode_admissions(reply.admissions),
    )


def decode_reply(received: ttypes.ReportReply) -> reports.Reply:
    """Decode a reply from a Thrift struct."""
    return reports.Reply(
        is_lessor=received.is_lessor,
        has_store=received.has_store,
        peers=None if received.peers is None else _decode_peers(received.peers),
        owners=None if received.owners is None else _decode_owners(received.owners),
        configuration=received.configuration,
        servers_known=_decode_known_servers(received),
        servers=None if received.servers is None else _decode_servers(received.servers),
        document=None if received.document is None else _decode_document(received.document),
        successor=decode_lessor(received.successor),
        work=load_encoding.decode_work_table(received.work),
        evacuated=load_encoding.decode_evacuated(received.evacuated),
        full_servers=load_encoding.decode_full_servers(received.full_servers),
        admissions=load_encoding.decode_admissions(received.admissions),
    )


def _encode_age_ms(known: reports.KnownServers | None) -> int | None:
    """Return the age of a list in milliseconds, rounded up."""
    return None if known is None else math.ceil(known.age_s * MS_PER_S)


def _decode_known_servers(received: ttypes.ReportReply) -> reports.KnownServers | None:
    """Return the state that a list shows; `None` if it is not fresh or of unknown age."""
    if not received.has_fresh_servers or received.servers_age_ms is None:
        return None
    return reports.KnownServers(received.servers_position, received.servers_age_ms / MS_PER_S)


def encode_lessor(identified: key_ranges.LessorIdentity) -> ttypes.LessorAddress:
    """Encode a lessor's identity as a Thrift struct."""
    return ttypes.LessorAddress(
        identified.incarnation.name,
        identified.incarnation.token,
        identified.address.host,
        identified.address.port,
    )


def decode_lessor(received: ttypes.LessorAddress | None) -> key_ranges.LessorIdentity | None:
    """Decode a lessor's identity from a Thrift struct; `None` if the sender names none."""
    if received is None:
        return None
    return key_ranges.LessorIdentity(
        identity.Incarnation(received.name, received.incarnation),
        identity.Address(received.host, received.port),
    )


def _encode_document(
    document: configuration_documents.ConfigurationDocument,
) -> ttypes.ConfigurationDocument:
    return ttypes.ConfigurationDocument(document.version, document.content)


def _decode_document(
    received: ttypes.ConfigurationDocument,
) -> configuration_documents.ConfigurationDocument:
    return configuration_documents.ConfigurationDocument(received.version, received.content)


def _encode_peers(peer_list: reports.PeerList) -> ttypes.PeerList:
    return ttypes.PeerList(
        peer_list.revision,
        [
            ttypes.PeerRow(peer.name, peer.address.host, peer.address.port)
            for peer in peer_list.peers
        ],
    )


def _decode_peers(received: ttypes.PeerList) -> reports.PeerList:
    return reports.PeerList(
        received.revision,
        tuple(
            reports.Peer(row.name, identity.Address(row.host, row.port)) for row in received.rows
        ),
    )


def _encode_servers(changes: reports.ServerChanges) -> ttypes.ServerChanges:
    return ttypes.ServerChanges(
        revision=changes.revision,
        base_revision=changes.base,
        removed=list(changes.removed),
        added=[_encode_server(server) for server in changes.added],
    )


def _decode_servers(received: ttypes.ServerChanges) -> reports.ServerChanges:
    return row_changes.RowChanges(
        revision=received.revision,
        base=received.base_revision,
        removed=tuple(received.removed),
        added=tuple(_decode_server(row) for row in received.added),
    )


def _encode_server(server: deployment.RegisteredServer) -> ttypes.ServerRow:
    return ttypes.ServerRow(
        server.name,
        server.incarnation.started_ms,
        server.service,
        server.address.host,
        server.address.port,
        server.failure_domain,
        server.slots,
        server.draining,
        int(server.slow_start_remaining_s * MS_PER_S),
    )


def _decode_server(row: ttypes.ServerRow) -> deployment.RegisteredServer:
    return deployment.RegisteredServer(
        incarnation=deployment.ServerIncarnation(row.name, row.started_ms),
        service=row.service_name,
        address=identity.Address(row.host, row.port),
        failure_domain=row.failure_domain,
        slots=row.slots,
        draining=row.draining,
        slow_start_remaining_s=row.slow_for_ms / MS_PER_S,
    )


def _encode_owners(changes: reports.OwnerChanges) -> ttypes.OwnershipChanges:
    return ttypes.OwnershipChanges(
        term=changes.term,
        revision=changes.ranges.revision,
        base_revision=changes.ranges.base,
        removed=[ttypes.RangeStart(start.service, start.first) for start in changes.ranges.removed],
        added=[_encode_range(range_owner) for range_owner in changes.ranges.added],
    )


def _decode_owners(received: ttypes.OwnershipChanges) -> reports.OwnerChanges:
    changes = row_changes.RowChanges(
        revision=received.revision,
        base=received.base_revision,
        removed=tuple(
            key_ranges.RangeStart(start.service_name, start.first_key) for start in received.removed
        ),
        added=tuple(_decode_range(row) for row in received.added),
    )
    return reports.OwnerChanges(received.term, changes)


def _encode_range(range_owner: key_ranges.RangeOwner) -> ttypes.RangeRow:
    return ttypes.RangeRow(
        range_owner.service,
        range_owner.keys.first,
        range_owner.keys.last,
        range_owner.owner.name,
        range_owner.owner.started_ms,
        range_owner.ready,
    )


def _decode_range(row: ttypes.RangeRow) -> key_ranges.RangeOwner:
    return key_ranges.RangeOwner(
        row.service_name,
        key_ranges.KeyRange(row.first_key, row.last_key),
        deployment.ServerIncarnation(row.server, row.started_ms),
        row.ready,
    )
