"""Matching of requests to the routes of a service policy."""

from __future__ import annotations

import dataclasses
import functools
from typing import Final

from goldcresthall.core import preset

SAFE_METHODS: Final = frozenset({"GET", "HEAD"})
KEY_SEGMENT: Final = "{key}"
ANY_SEGMENT: Final = "{any}"
REST_SEGMENT: Final = "*"


@dataclasses.dataclass(frozen=True, slots=True)
class MatchedRoute:
    """Properties of the matched route; `key` is empty if the path has no key segment."""

    idempotent: bool
    request_class: preset.RequestClass
    deadline_ms: int
    key: str


def match_route(policy: preset.ServicePolicy, method: str, path: str) -> MatchedRoute:
    """Return the first matching route, or the service's defaults if none matches.

    Without a matching route only the safe methods count as idempotent.
    """
    segments = _split(path)
    for route in policy.routes:
        key = _match_segments(_split(route.path), segments) if route.method == method else None
        if key is not None:
            return MatchedRoute(route.idempotent, route.request_class, route.deadline_ms, key)
    return MatchedRoute(
        idempotent=method in SAFE_METHODS,
        request_class=preset.RequestClass.SHORT,
        deadline_ms=policy.deadline_ms,
        key="",
    )


@functools.lru_cache(maxsize=4096)
def _split(path: str) -> tuple[str, ...]:
    return tuple(path.strip("/").split("/"))


def _match_segments(pattern: tuple[str, ...], segments: tuple[str, ...]) -> str | None:
    key = ""
    for index, expected in enumerate(pattern):
        if expected == REST_SEGMENT:
            return key
        if index >= len(segments):
            return None
        if expected == KEY_SEGMENT:
            key = segments[index]
        elif expected not in (ANY_SEGMENT, segments[index]):
            return None
    return key if len(pattern) == len(segments) else None
