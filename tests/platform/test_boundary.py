"""Test that the platform's names occur only in `platform/`."""

from __future__ import annotations

import pathlib
import re

SOURCES = pathlib.Path("src/goldcresthall")
FOREIGN_NAMES = re.compile(
    r"goldcresthall-(request-deadline|target-instance|not-executed|response-signature"
    r"|shard-key|lease-handover|server-load)"
    r"|log-(append|newest|read|join)|warmup_left_s\"|path_prefix\"|traffic_split|keyed\.(op|servers)"
    r"|max_conns|hold_s\"",
    re.IGNORECASE,
)


def test_platform_names_occur_only_in_the_platform_package() -> None:
    violations = [
        f"{path}: {match.group()}"
        for path in SOURCES.rglob("*.py")
        if path.parent.name != "platform"
        for match in FOREIGN_NAMES.finditer(path.read_text())
    ]
    assert violations == []
