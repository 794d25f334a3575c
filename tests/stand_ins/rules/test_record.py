"""Tests of the record's encoding and of the command that checks a record."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
from click import testing
from goldcresthall_stand_ins import __main__ as command_line
from goldcresthall_stand_ins.rules import bounds
from goldcresthall_stand_ins.rules import events
from goldcresthall_stand_ins.rules import record as records

from tests.stand_ins.rules import examples

if TYPE_CHECKING:
    import pathlib

ROUTE = examples.route("agenda", "ledger", weights=(3.0, 1.0))


def test_written_record_reads_back_whole(tmp_path: pathlib.Path) -> None:
    """Bounds, nested routes, enumerations, absent values and the order survive."""
    written = records.Record.from_events(
        (
            examples.grant(2.0, "a", 5, sent_at_s=1.5),
            events.ConfigurationAcknowledged(at_s=1.0, sent_at_s=0.5, version=7, routes=(ROUTE,)),
            *examples.disturb(3.0, 4.0, events.DisturbanceKind.LINK_CUT, "edge", events.STORE),
            examples.arrival(5.0, "a", deadline_s=None),
            events.ServerStateAcknowledged(
                at_s=6.0, server="a", incarnation=1, state=events.ServerState.GONE
            ),
        ),
        bounds.Bounds(drain_s=2.5),
    )
    path = tmp_path / "record.jsonl"
    written.write(path)
    assert records.Record.from_file(path) == written
    assert [event.at_s for event in written.events] == [1.0, 2.0, 3.0, 4.0, 5.0, 6.0]


@pytest.mark.parametrize(
    "content",
    ["", "x\n", '{"type":"GrantTaken"}\n', '{"type":"Bounds"}\n[]\n', '{"type":"Bounds"}\n{}\n'],
)
def test_unreadable_record_is_an_error(tmp_path: pathlib.Path, content: str) -> None:
    """A damaged record must not count as one without violations."""
    path = tmp_path / "record.jsonl"
    path.write_text(content)
    with pytest.raises(records.RecordError):
        records.Record.from_file(path)
    result = testing.CliRunner().invoke(command_line.main, ["rules", "check", str(path)])
    assert result.exit_code == 1


@pytest.mark.parametrize(
    ("second_fence", "exit_code", "summary"),
    [(6, 0, "2 events, 0 violations"), (4, 1, "2 events, 1 violations")],
)
def test_command_prints_broken_rules(
    tmp_path: pathlib.Path, second_fence: int, exit_code: int, summary: str
) -> None:
    """The exit status and the report follow the record alone."""
    record = records.Record.from_events(
        (examples.grant(1.0, "a", 5, lease_s=1.0), examples.grant(3.0, "b", second_fence))
    )
    path = tmp_path / "record.jsonl"
    record.write(path)
    result = testing.CliRunner().invoke(command_line.main, ["rules", "check", str(path)])
    assert result.exit_code == exit_code
    assert summary in result.output
    assert ("OWNER at 3.000 s" in result.output) == (exit_code == 1)
