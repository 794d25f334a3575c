"""Thrift encoding of heat reports; rates are integers, which are compact on the wire."""

from __future__ import annotations

from goldcresthall.core import heat
from goldcresthall.generated.peer import ttypes

WIRE_RATE_PERIOD_S = 1_000


def encode_report(report: heat.HeatReport) -> ttypes.HeatReport:
    """Return a report as its Thrift message."""
    return ttypes.HeatReport(services=[_encode_service(item) for item in report.services])


def decode_report(received: ttypes.HeatReport) -> heat.HeatReport:
    """Return the report in a Thrift message."""
    return heat.HeatReport(tuple(_decode_service(item) for item in received.services))


def _encode_service(service: heat.ServiceHeat) -> ttypes.ServiceHeat:
    return ttypes.ServiceHeat(
        name=service.service,
        requests_per_1000_s=_to_wire(service.rate_per_s),
        partitions=[
            ttypes.PartitionHeat(number=item.number, requests_per_1000_s=_to_wire(item.rate_per_s))
            for item in service.partitions
        ],
        keys=[
            ttypes.KeyHeat(
                key=item.key,
                partition=item.partition,
                requests_per_1000_s=_to_wire(item.rate_per_s),
                error_per_1000_s=_to_wire(item.error_per_s),
            )
            for item in service.keys
        ],
    )


def _decode_service(received: ttypes.ServiceHeat) -> heat.ServiceHeat:
    return heat.ServiceHeat(
        service=received.name,
        rate_per_s=received.requests_per_1000_s / WIRE_RATE_PERIOD_S,
        partitions=tuple(
            heat.PartitionHeat(item.number, item.requests_per_1000_s / WIRE_RATE_PERIOD_S)
            for item in received.partitions
        ),
        keys=tuple(
            heat.KeyHeat(
                item.key,
                item.partition,
                item.requests_per_1000_s / WIRE_RATE_PERIOD_S,
                item.error_per_1000_s / WIRE_RATE_PERIOD_S,
            )
            for item in received.keys
        ),
    )


def _to_wire(rate_per_s: float) -> int:
    return round(rate_per_s * WIRE_RATE_PERIOD_S)
