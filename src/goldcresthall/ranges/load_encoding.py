"""Thrift encoding of the parts of reports and replies that concern load and evacuations."""

from __future__ import annotations

from goldcresthall.admission import range_admissions
from goldcresthall.core import deployment
from goldcresthall.core import key_ranges
from goldcresthall.gateway import evacuations
from goldcresthall.generated.lessor import ttypes
from goldcresthall.load import server_reports
from goldcresthall.load import work_table

MS_PER_S = 1_000
US_PER_S = 1_000_000
PERMILLE = 1_000
# Struct fields are signed 32-bit integers.
MAX_COUNT = 2**31 - 1


def encode_key_work(work: tuple[work_table.KeyWork, ...]) -> list[ttypes.KeyWork]:
    """Encode the work of requested keys."""
    return [
        ttypes.KeyWork(
            row.service,
            list(row.keys),
            [min(MAX_COUNT, round(work_s * MS_PER_S)) for work_s in row.work_s],
        )
        for row in work
    ]


def decode_key_work(received: list[ttypes.KeyWork] | None) -> tuple[work_table.KeyWork, ...]:
    """Decode the work of requested keys; empty if the sender does not report it."""
    return tuple(
        work_table.KeyWork(
            row.service_name, tuple(row.keys), tuple(work_ms / MS_PER_S for work_ms in row.work_ms)
        )
        for row in received or ()
    )


def encode_routes(samples: tuple[work_table.RouteSample, ...]) -> list[ttypes.RouteTimes]:
    """Encode the work of responses by route."""
    return [
        ttypes.RouteTimes(sample.route, sample.count, int(sample.total_s * US_PER_S))
        for sample in samples
    ]


def decode_routes(
    received: list[ttypes.RouteTimes] | None,
) -> tuple[work_table.RouteSample, ...]:
    """Decode the work of responses by route; empty if the sender does not report it."""
    return tuple(
        work_table.RouteSample(row.route, row.count, row.total_us / US_PER_S)
        for row in received or ()
    )


def encode_full_servers(
    servers: tuple[server_reports.LostServer, ...],
) -> list[ttypes.FullServer]:
    """Encode reports on lost servers."""
    return [
        ttypes.FullServer(
            row.server.name,
            row.server.started_ms,
            min(MAX_COUNT, round(row.age_s * MS_PER_S)),
            row.has_failed_connect or None,
            row.failure_domain or None,
        )
        for row in servers
    ]


def decode_full_servers(
    received: list[ttypes.FullServer] | None,
) -> tuple[server_reports.LostServer, ...]:
    """Decode reports on lost servers; empty if the sender does not report them."""
    return tuple(
        server_reports.LostServer(
            deployment.ServerIncarnation(row.server, row.started_ms),
            row.age_ms / MS_PER_S,
            bool(row.has_failed_connect),
            row.failure_domain or "",
        )
        for row in received or ()
    )


def encode_work_table(table: work_table.WorkTable | None) -> ttypes.WorkTable | None:
    """Encode a work table; `None` if there is none."""
    if table is None:
        return None
    return ttypes.WorkTable(
        table.revision,
        [
            ttypes.ServerSlowness(
                row.server.name,
                row.server.started_ms,
                min(MAX_COUNT, round(row.factor * PERMILLE)),
            )
            for row in table.servers
        ],
        [ttypes.RouteWork(row.route, int(row.mean_s * US_PER_S)) for row in table.routes],
    )


def decode_work_table(received: ttypes.WorkTable | None) -> work_table.WorkTable | None:
    """Decode a work table; `None` if the sender sends none."""
    if received is None:
        return None
    return work_table.WorkTable(
        received.revision,
        tuple(
            work_table.ServerSlowness(
                deployment.ServerIncarnation(row.server, row.started_ms), row.permille / PERMILLE
            )
            for row in received.servers
        ),
        tuple(work_table.RouteWork(row.route, row.mean_us / US_PER_S) for row in received.routes),
    )


def encode_evacuated(
    evacuated: evacuations.EvacuatedDomains | None,
) -> ttypes.EvacuatedDomains | None:
    """Encode the evacuated failure domains; `None` if they are not known."""
    if evacuated is None:
        return None
    return ttypes.EvacuatedDomains(evacuated.position, sorted(evacuated.failure_domains))


def decode_evacuated(
    received: ttypes.EvacuatedDomains | None,
) -> evacuations.EvacuatedDomains | None:
    """Decode the evacuated failure domains; `None` if the sender does not know them."""
    if received is None:
        return None
    return evacuations.EvacuatedDomains(received.position, frozenset(received.failure_domains))


def encode_admissions(
    admissions: tuple[range_admissions.RangeAdmission, ...],
) -> list[ttypes.RangeAdmission]:
    """Encode the shares of requests to admit to overloaded ranges."""
    return [
        ttypes.RangeAdmission(row.service, row.keys.first, row.keys.last, int(row.share * PERMILLE))
        for row in admissions
    ]


def decode_admissions(
    received: list[ttypes.RangeAdmission] | None,
) -> tuple[range_admissions.RangeAdmission, ...]:
    """Decode the shares of requests to admit; empty if the sender sends none."""
    return tuple(
        range_admissions.RangeAdmission(
            row.service_name,
            key_ranges.KeyRange(row.first_key, row.last_key),
            row.admitted_permille / PERMILLE,
        )
        for row in received or ()
    )
