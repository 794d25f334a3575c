"""What a server says of itself in the headers of a response: its load, its leaving, its pauses."""

from __future__ import annotations

import dataclasses
import math
import re
from typing import TYPE_CHECKING
from typing import Final

from goldcresthall.core import attempts
from goldcresthall.platform import names

if TYPE_CHECKING:
    from goldcresthall.backend import exchange

STATUS_UNAVAILABLE = 503
# A server that names hours by mistake is asked again after some minutes.
MAX_RETRY_AFTER_S = 300.0
# Running, waiting and slots; on some services also the time that work takes now, in percent of the
# usual one.
LOAD_PATTERN: Final = re.compile(
    r"[ \t]*([0-9]{1,9})[ \t]*,[ \t]*([0-9]{1,9})[ \t]*,[ \t]*([0-9]{1,9})"
    r"(?:[ \t]*,[ \t]*([1-9][0-9]{0,5}))?[ \t]*"
)
PERCENT = 100.0
LEAVING: Final = "1"


def read_signals(response: exchange.RawResponse) -> attempts.ServerSignals:
    """Return what a server says of itself in a response, whichever request that is for."""
    return dataclasses.replace(
        _parse_load(response.find(names.SERVER_LOAD)),
        draining=is_leaving(response),
        pause_s=_find_pause_s(response),
    )


def is_leaving(response: exchange.RawResponse) -> bool:
    """Return whether a server says in a response that it is draining before it ends."""
    return (response.find(names.SERVER_LEAVING) or "").strip() == LEAVING


def find_retry_after_s(response: exchange.RawResponse) -> float | None:
    """Return the seconds after which a server wants a refused request again.

    They are at most `MAX_RETRY_AFTER_S`. Negative numbers, dates and anything else that is no
    number mean that there is no such wish.
    """
    text = response.find("retry-after")
    try:
        seconds = float(text) if text is not None else None
    except ValueError:
        return None
    if seconds is None or not 0 <= seconds < math.inf:
        return None
    return min(seconds, MAX_RETRY_AFTER_S)


def _find_pause_s(response: exchange.RawResponse) -> float:
    """Return for how long a server that sheds load wants no request."""
    if response.status != STATUS_UNAVAILABLE:
        return 0.0
    return find_retry_after_s(response) or 0.0


def _parse_load(text: str | None) -> attempts.ServerSignals:
    """Return a server's load, its waiting requests and its slowdown from the load header.

    Nothing is known from a header that is not three or four whole numbers.
    """
    match = LOAD_PATTERN.fullmatch(text) if text is not None else None
    if match is None:
        return attempts.NO_SIGNALS
    running, queued, _, percent = match.groups()
    return attempts.ServerSignals(
        load=float(int(running) + int(queued)),
        queued=int(queued),
        slowdown=None if percent is None else int(percent) / PERCENT,
    )
