"""Tests of the encoding of heat reports and of their share of 4 KB/s of control traffic."""

from __future__ import annotations

from thrift.protocol import TCompactProtocol
from thrift.transport import TTransport

from goldcresthall.core import heat
from goldcresthall.ownership import heat as heat_counter
from goldcresthall.peers import follower
from goldcresthall.peers import heat_encoding

NEIGHBOR_COUNT = 3
CONTROL_TRAFFIC_LIMIT_BYTES_PER_S = 4_000
HEAT_REPORT_SHARE = 0.2


def create_full_report() -> heat.HeatReport:
    services = tuple(
        heat.ServiceHeat(
            service=f"service-{number}",
            rate_per_s=6_200.0,
            partitions=tuple(
                heat.PartitionHeat(partition, 90.0 + partition)
                for partition in range(heat_counter.MAX_REPORTED_PARTITIONS)
            ),
            keys=tuple(
                heat.KeyHeat(f"memorial-of-a-long-name-{rank}", rank, 500.0 - rank, 1.5)
                for rank in range(heat_counter.MAX_REPORTED_KEYS)
            ),
        )
        for number in range(4)
    )
    return heat.HeatReport(services)


def test_decoded_report_equals_encoded_report() -> None:
    report = create_full_report()
    assert heat_encoding.decode_report(heat_encoding.encode_report(report)) == report


def test_full_reports_stay_within_their_share_of_control_traffic() -> None:
    buffer = TTransport.TMemoryBuffer()
    protocol = TCompactProtocol.TCompactProtocol(buffer)
    heat_encoding.encode_report(create_full_report()).write(protocol)
    sent_bytes = len(buffer.getvalue())
    total_bytes_per_s = 2 * NEIGHBOR_COUNT * sent_bytes / follower.HEAT_REPORT_INTERVAL_S
    assert total_bytes_per_s < HEAT_REPORT_SHARE * CONTROL_TRAFFIC_LIMIT_BYTES_PER_S
