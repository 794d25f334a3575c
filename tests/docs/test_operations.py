"""Tests that the operations page documents every reason, setting and default."""

from __future__ import annotations

import dataclasses
import pathlib
from typing import TYPE_CHECKING

import pytest

from goldcresthall.core import outcomes
from goldcresthall.core import settings
from goldcresthall.replication import replay

if TYPE_CHECKING:
    import enum

PAGE = pathlib.Path("docs/OPERATIONS.md").read_text()
SETTING_ROWS = [row for row in PAGE.splitlines() if row.startswith("| `")]


@pytest.mark.parametrize(
    "kind", [outcomes.RefusalReason, outcomes.UnknownReason, replay.RejectionReason]
)
def test_every_reason_is_documented(kind: type[enum.Enum]) -> None:
    assert [member.value for member in kind if f"`{member.value}`" not in PAGE] == []


def list_sections() -> list[tuple[str, type]]:
    fields = settings.Settings.__dataclass_fields__
    return [(name, type(field.default)) for name, field in fields.items() if _has_default(field)]


def _has_default(field: dataclasses.Field) -> bool:  # type: ignore[type-arg]
    return field.default is not dataclasses.MISSING


def test_every_setting_is_documented_with_its_default() -> None:
    missing = []
    for section, kind in [*list_sections(), ("platform", settings.PlatformSettings)]:
        for field in dataclasses.fields(kind):
            name = f"`{section}.{field.name}`"
            line = next((row for row in SETTING_ROWS if row.startswith(f"| {name}")), "")
            default = field.default if type(field.default) in {int, float} else ""
            if not line or str(default) not in line:
                missing.append(name)
    assert not missing, missing
