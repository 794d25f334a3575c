"""CONFIG, splits: each part of a route's traffic gets about its share."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from goldcresthall_stand_ins.rules import configurations
from goldcresthall_stand_ins.rules import disturbances
from goldcresthall_stand_ins.rules import request_index
from goldcresthall_stand_ins.rules import violations

if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Sequence

    from goldcresthall_stand_ins.rules import events
    from goldcresthall_stand_ins.rules import record as records
    from goldcresthall_stand_ins.rules import routes as config_routes

RULE = "CONFIG"
MIN_REQUESTS = 200
MAX_SHARE_ERROR = 0.2


def check(record: records.Record) -> list[violations.Violation]:
    """Check the shares of services among which a route splits its traffic."""
    index = request_index.RequestIndex(record)
    found: list[violations.Violation] = []
    for route, sendings in _collect_split_requests(record, index).items():
        if len(sendings) >= MIN_REQUESTS:
            found += _check_route(route, sendings, index)
    return found


def _collect_split_requests(
    record: records.Record, index: request_index.RequestIndex
) -> dict[config_routes.Route, list[events.CallerSent]]:
    """Return the requests without a key on each split route, in undisturbed times.

    Requests count while one version alone may be in force.
    """
    log = disturbances.DisturbanceLog(record)
    versions = configurations.ConfigurationLog(record)
    collected: dict[config_routes.Route, list[events.CallerSent]] = collections.defaultdict(list)
    for sent in index.sent.values():
        routes = set(versions.find_routes(sent))
        if len(routes) != 1 or sent.key is not None:
            continue
        (route,) = routes
        if len(route.parts) > 1 and log.is_in_touch(sent.instance, sent.at_s):
            collected[route].append(sent)
    return collected


def _check_route(
    route: config_routes.Route,
    sendings: Sequence[events.CallerSent],
    index: request_index.RequestIndex,
) -> Iterator[violations.Violation]:
    """Report parts whose share is off.

    Requests that reached no server may have been refused for any part that lacks room.
    """
    first_services = [
        index.arrived[sent.request_id][0].service if sent.request_id in index.arrived else ""
        for sent in sendings
    ]
    counts = collections.Counter(first_services)
    total_weight = sum(part.weight for part in route.parts)
    for part in route.parts:
        expected = part.weight / total_weight
        least = counts[part.service] / len(sendings)
        most = (counts[part.service] + counts[""]) / len(sendings)
        if least > expected + MAX_SHARE_ERROR or most < expected - MAX_SHARE_ERROR:
            what = (
                f"{part.service} gets {least:.0%} of {len(sendings)} requests on route "
                f"{route.name}, its weight is {expected:.0%}"
            )
            yield violations.Violation(RULE, sendings[-1].at_s, what, ())
