"""The record of a run: its bounds and its events in order, written as JSON lines."""

from __future__ import annotations

import dataclasses
import json
import operator
from typing import TYPE_CHECKING
from typing import Any
from typing import TypeVar

from goldcresthall.encoding import documents
from goldcresthall.encoding import exceptions
from goldcresthall_stand_ins.rules import bounds as rule_bounds
from goldcresthall_stand_ins.rules import events as event_types

if TYPE_CHECKING:
    import pathlib
    from collections.abc import Iterable

SomeEvent = TypeVar("SomeEvent", bound=event_types.Event)

TYPE_FIELD = "type"
EVENT_TYPES = {event_type.__name__: event_type for event_type in event_types.Event.__subclasses__()}


class RecordError(Exception):
    """A line of a record cannot be read; the message says which and why."""


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """Everything that was seen in a run, ordered by time."""

    events: tuple[event_types.Event, ...]
    bounds: rule_bounds.Bounds = dataclasses.field(default_factory=rule_bounds.Bounds)

    @classmethod
    def from_events(
        cls, unordered: Iterable[event_types.Event], limits: rule_bounds.Bounds | None = None
    ) -> Record:
        """Create a record from events in any order; equal times keep their order."""
        ordered = tuple(sorted(unordered, key=operator.attrgetter("at_s")))
        return cls(ordered, limits or rule_bounds.Bounds())

    @classmethod
    def from_file(cls, path: pathlib.Path) -> Record:
        """Read a whole record.

        Raises
        ------
        RecordError
            If a line is not an event, or the first line does not hold the bounds.
        OSError
            If the file cannot be read.
        """
        lines = path.read_text().splitlines()
        if not lines:
            raise RecordError(f"{path} is empty")
        limits = _decode_line(1, lines[0], {rule_bounds.Bounds.__name__: rule_bounds.Bounds})
        decoded = [
            _decode_line(number, line, EVENT_TYPES)
            for number, line in enumerate(lines[1:], start=2)
        ]
        return cls.from_events(decoded, limits)

    def write(self, path: pathlib.Path) -> None:
        """Write the whole record: one line for the bounds and one for each event."""
        lines = [_encode_line(self.bounds), *(_encode_line(event) for event in self.events)]
        path.write_text("".join(f"{line}\n" for line in lines))

    def select(self, event_type: type[SomeEvent]) -> list[SomeEvent]:
        """Return the events of one type, in order."""
        return [event for event in self.events if isinstance(event, event_type)]


def _encode_line(value: rule_bounds.Bounds | event_types.Event) -> str:
    fields = documents.to_json_value(value)
    return json.dumps({TYPE_FIELD: type(value).__name__, **fields}, separators=(",", ":"))


def _decode_line(number: int, line: str, types: dict[str, type[Any]]) -> Any:
    try:
        fields = json.loads(line)
        return documents.decode_json_value(fields, types[fields.pop(TYPE_FIELD)])
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise RecordError(f"line {number}: not one of {', '.join(types)}: {error}") from error
    except exceptions.DocumentError as error:
        raise RecordError(f"line {number}: {error}") from error
