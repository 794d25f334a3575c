"""Reports and replies keep what they say of load and evacuations on their way."""

from __future__ import annotations

from thrift.protocol import TCompactProtocol
from thrift.transport import TTransport

from goldcresthall.admission import range_admissions
from goldcresthall.core import deployment
from goldcresthall.core import identity
from goldcresthall.core import key_ranges
from goldcresthall.gateway import evacuations
from goldcresthall.generated.lessor import ttypes
from goldcresthall.load import server_reports
from goldcresthall.load import work_table
from goldcresthall.ranges import report_encoding
from goldcresthall.ranges import reports

SERVER = deployment.ServerIncarnation("server-1", 1_700_000_000_000)
REPORTER = key_ranges.LessorIdentity(
    identity.Incarnation("instance-1", "token"), identity.Address("127.0.0.1", 7000)
)


def _transfer(sent: object, received: object) -> object:
    buffer = TTransport.TMemoryBuffer()
    sent.write(TCompactProtocol.TCompactProtocol(buffer))
    received.read(TCompactProtocol.TCompactProtocol(TTransport.TMemoryBuffer(buffer.getvalue())))
    return received


def _create_report(**load: object) -> reports.Report:
    return reports.Report(
        reporter=REPORTER,
        known_term=1,
        known_revision=2,
        counts=(),
        samples=(),
        configuration=3,
        **load,
    )


def test_report_keeps_work_and_full_servers() -> None:
    report = _create_report(
        key_work=(work_table.KeyWork("service", (3, 9), (0.12, 0.5)),),
        route_samples=(work_table.RouteSample("route", 4, 0.75),),
        full_servers=(server_reports.LostServer(SERVER, 0.25, True, "north"),),
        known_work=7,
        evacuated=evacuations.EvacuatedDomains(12, frozenset({"domain-a"})),
    )
    received = _transfer(report_encoding.encode_report(report), ttypes.Report())
    assert report_encoding.decode_report(received) == report


def test_report_of_an_earlier_release_says_nothing_of_load() -> None:
    sent = report_encoding.encode_report(_create_report())
    sent.key_work = sent.route_times = sent.full_servers = sent.known_work = None
    sent.evacuated = None
    received = _transfer(sent, ttypes.Report())
    assert report_encoding.decode_report(received) == _create_report()


def test_reply_keeps_work_evacuations_and_full_servers() -> None:
    reply = reports.Reply(
        is_lessor=True,
        has_store=True,
        configuration=3,
        work=work_table.WorkTable(
            4,
            (work_table.ServerSlowness(SERVER, 1.625),),
            (work_table.RouteWork("route", 0.125),),
        ),
        evacuated=evacuations.EvacuatedDomains(12, frozenset({"domain-a", "domain-b"})),
        full_servers=(server_reports.LostServer(SERVER, 0.25),),
        admissions=(range_admissions.RangeAdmission("service", key_ranges.KeyRange(7, 7), 0.125),),
    )
    received = _transfer(report_encoding.encode_reply(reply), ttypes.ReportReply())
    assert report_encoding.decode_reply(received) == reply


def test_reply_of_an_earlier_release_says_nothing_of_load() -> None:
    reply = reports.Reply(is_lessor=True, has_store=True, configuration=3)
    sent = report_encoding.encode_reply(reply)
    sent.full_servers = sent.admissions = None
    received = _transfer(sent, ttypes.ReportReply())
    assert report_encoding.decode_reply(received) == reply
