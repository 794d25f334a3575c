"""CONFIG, versions: no instance uses an old version of the configuration for too long."""

from __future__ import annotations

import collections
import dataclasses
import operator
from typing import TYPE_CHECKING

from goldcresthall_stand_ins.rules import configurations
from goldcresthall_stand_ins.rules import disturbances
from goldcresthall_stand_ins.rules import events
from goldcresthall_stand_ins.rules import request_index
from goldcresthall_stand_ins.rules import responses
from goldcresthall_stand_ins.rules import violations

if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Sequence

    from goldcresthall_stand_ins.rules import record as records

RULE = "CONFIG"
NO_ROUTE = 404
SLOWED_SLACK_FACTOR = 8
MIN_ADDED_ROUTE_REQUESTS = 20
MIN_ADDED_ROUTE_SHARE = 0.25


def check(record: records.Record) -> list[violations.Violation]:
    """Check that requests are handled by versions that may be in force."""
    log = disturbances.DisturbanceLog(record)
    versions = configurations.ConfigurationLog(record)
    index = request_index.RequestIndex(record)
    handlings = sorted(_find_handlings(record, index, versions), key=operator.attrgetter("at_s"))
    slack_s = record.bounds.rollback_slack_s
    return [
        *_check_outdated(handlings, versions, log),
        *_check_regress(handlings, log, slack_s),
        *_check_added_routes(index, versions, log),
    ]


@dataclasses.dataclass(frozen=True, slots=True)
class _Handling:
    """A request that was run, or refused for want of a route.

    Attributes
    ----------
    allowing
        Versions, of those sent by then, that allow this.
    """

    sent: events.CallerSent
    shown_by: events.RequestBegan | events.CallerAnswered
    sender: str
    allowing: tuple[int, ...]

    @property
    def at_s(self) -> float:
        return self.shown_by.at_s

    @property
    def is_run(self) -> bool:
        return isinstance(self.shown_by, events.RequestBegan)


def _find_handlings(
    record: records.Record,
    index: request_index.RequestIndex,
    versions: configurations.ConfigurationLog,
) -> Iterator[_Handling]:
    """Return what was done with requests and the versions that allow it, if any does."""
    for arrival in record.select(events.RequestArrived):
        sent = index.sent.get(arrival.request_id)
        began = index.find_run(arrival)
        if sent is not None and began is not None:
            allowing = tuple(
                version.version
                for version in versions.versions
                if version.sent_at_s <= began.at_s
                and arrival.service in configurations.find_services(version, sent)
            )
            if allowing:
                yield _Handling(sent, began, arrival.instance, allowing)
    for answer in record.select(events.CallerAnswered):
        sent = index.sent.get(answer.request_id)
        if sent is not None and answer.status == NO_ROUTE and not answer.signature:
            allowing = tuple(
                version.version
                for version in versions.versions
                if version.sent_at_s <= answer.at_s
                and configurations.match_route(version, sent) is None
            )
            if allowing:
                yield _Handling(sent, answer, sent.instance, allowing)


def _check_outdated(
    handlings: Sequence[_Handling],
    versions: configurations.ConfigurationLog,
    log: disturbances.DisturbanceLog,
) -> Iterator[violations.Violation]:
    """Report requests that are handled as only a version allows that is out of force."""
    for handling in handlings:
        sent = handling.sent
        usable = {version.version for version in versions.find_usable(sent.at_s, handling.at_s)}
        were_in_touch = all(
            log.is_in_touch(instance, at_s)
            for instance in (sent.instance, handling.sender)
            for at_s in (sent.at_s, handling.at_s)
        )
        if usable.isdisjoint(handling.allowing) and were_in_touch:
            what = (
                f"{sent.instance} handles {sent.request_id} as only version "
                f"{handling.allowing[-1]} allows, though version {min(usable)} is in force"
            )
            evidence = (sent, handling.shown_by)
            yield violations.Violation(RULE, handling.at_s, what, evidence)


def _check_regress(
    handlings: Sequence[_Handling], log: disturbances.DisturbanceLog, slack_s: float
) -> Iterator[violations.Violation]:
    """Report instances that go back to a version before one whose effect a server saw."""
    newest: dict[str, int] = collections.defaultdict(int)
    for position, later in enumerate(handlings):
        instance = later.sent.instance
        if later.allowing[-1] < newest[instance]:
            earlier = _find_newer(handlings[:position], later, log, slack_s)
            if earlier is not None:
                what = (
                    f"{instance} handles {later.sent.request_id} as only version "
                    f"{later.allowing[-1]} allows, after it has used version {earlier.allowing[0]}"
                )
                evidence = (earlier.sent, earlier.shown_by, later.sent, later.shown_by)
                yield violations.Violation(RULE, later.at_s, what, evidence)
        newest[instance] = max(newest[instance], later.allowing[0])


def _find_newer(
    handlings: Sequence[_Handling],
    later: _Handling,
    log: disturbances.DisturbanceLog,
    slack_s: float,
) -> _Handling | None:
    """Return an earlier handling after which the later one goes back."""
    for earlier in handlings:
        if _goes_back(earlier, later, log, slack_s):
            return earlier
    return None


def _goes_back(
    earlier: _Handling, later: _Handling, log: disturbances.DisturbanceLog, slack_s: float
) -> bool:
    instance = later.sent.instance
    if (
        not earlier.is_run
        or earlier.sent.instance != instance
        or later.allowing[-1] >= earlier.allowing[0]
    ):
        return False
    was_slowed = log.was_slowed(instance, earlier.at_s, later.at_s)
    allowed_s = slack_s * SLOWED_SLACK_FACTOR if was_slowed else slack_s
    is_late = later.sent.at_s > earlier.at_s + allowed_s
    return is_late and not log.was_restarted(instance, earlier.at_s, later.at_s)


def _check_added_routes(
    index: request_index.RequestIndex,
    versions: configurations.ConfigurationLog,
    log: disturbances.DisturbanceLog,
) -> Iterator[violations.Violation]:
    """Report that requests on routes of later versions are served far less often."""
    if not versions.versions:
        return
    first_names = {route.name for route in versions.versions[0].routes}
    first: list[events.CallerSent] = []
    added: list[events.CallerSent] = []
    for sent in index.sent.values():
        usable = versions.find_usable(sent.at_s, sent.at_s)
        routes = versions.find_routes(sent)
        if routes and len(routes) == len(usable) and log.is_in_touch(sent.instance, sent.at_s):
            is_first = all(route.name in first_names for route in routes)
            (first if is_first else added).append(sent)
    if len(added) < MIN_ADDED_ROUTE_REQUESTS:
        return
    first_share = _find_served_share(first, index)
    added_share = _find_served_share(added, index)
    if added_share < MIN_ADDED_ROUTE_SHARE * first_share:
        what = (
            f"{added_share:.0%} of {len(added)} requests on later routes are served, and "
            f"{first_share:.0%} of {len(first)} on the first routes"
        )
        yield violations.Violation(RULE, added[-1].at_s, what, tuple(added))


def _find_served_share(
    sendings: Sequence[events.CallerSent], index: request_index.RequestIndex
) -> float:
    served = [
        sent
        for sent in sendings
        if any(
            answer.status in responses.SUCCESS_STATUSES and answer.is_complete
            for answer in index.answered.get(sent.request_id, ())
        )
    ]
    return len(served) / len(sendings) if sendings else 0.0
