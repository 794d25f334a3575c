"""Configuration versions of a record: which may be in force when, and their routes."""

from __future__ import annotations

import operator
from typing import TYPE_CHECKING

from goldcresthall_stand_ins.rules import events

if TYPE_CHECKING:
    from goldcresthall_stand_ins.rules import record as records
    from goldcresthall_stand_ins.rules import routes as config_routes


class ConfigurationLog:
    """Answers questions about the configuration versions of a record.

    Attributes
    ----------
    versions
        All versions, oldest first.
    """

    def __init__(self, record: records.Record) -> None:
        self._config_s = record.bounds.config_s
        self.versions = sorted(
            record.select(events.ConfigurationAcknowledged), key=operator.attrgetter("version")
        )

    def find_usable(
        self, sent_s: float, handled_s: float
    ) -> list[events.ConfigurationAcknowledged]:
        """Return the versions that may decide a request sent and handled at these times."""
        required = [
            version.version for version in self.versions if version.at_s + self._config_s < sent_s
        ]
        oldest = max(required, default=0)
        return [
            version
            for version in self.versions
            if version.version >= oldest and version.sent_at_s <= handled_s
        ]

    def find_routes(self, sent: events.CallerSent) -> list[config_routes.Route]:
        """Return the routes of a request in the versions that may be in force when it is sent."""
        matches = [match_route(version, sent) for version in self.find_usable(sent.at_s, sent.at_s)]
        return [route for route in matches if route is not None]

    def find_timeout_s(self, sent: events.CallerSent) -> float | None:
        """Return the longest timeout that a request may have; `None` if it has no route."""
        return max((route.timeout_s for route in self.find_routes(sent)), default=None)


def match_route(
    version: events.ConfigurationAcknowledged, sent: events.CallerSent
) -> config_routes.Route | None:
    """Return the route of a request in a version: that of its host with the longest prefix."""
    matches = [
        route
        for route in version.routes
        if route.host == sent.host and sent.path.startswith(route.path_prefix)
    ]
    return max(matches, key=lambda route: len(route.path_prefix), default=None)


def find_services(
    version: events.ConfigurationAcknowledged, sent: events.CallerSent
) -> frozenset[str]:
    """Return the services that may run a request according to a version."""
    route = match_route(version, sent)
    return frozenset() if route is None else frozenset(part.service for part in route.parts)
