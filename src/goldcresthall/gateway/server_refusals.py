"""Refusals of requests for which no server is usable.

The time to retry in them is the time at which there is expected to be room, if that is known. The
gateway spreads it before the caller gets it.
"""

from __future__ import annotations

from goldcresthall.core import outcomes


def refuse_busy(service: str, subject: str, room_in_s: float) -> outcomes.Refused:
    """Return the refusal for servers at the limit of requests.

    Parameters
    ----------
    room_in_s
        Expected seconds until one of them takes another request.
    """
    return outcomes.Refused(
        outcomes.RefusalReason.QUEUE_FULL,
        outcomes.Step.ADMIT,
        service,
        f"{subject} at the limit of requests",
        retry_after_s=room_in_s,
    )


def refuse_paused(service: str, pause_s: float) -> outcomes.Refused:
    """Return the refusal while all servers asked for a pause, which lasts `pause_s` seconds."""
    return outcomes.Refused(
        outcomes.RefusalReason.SERVER_PAUSED,
        outcomes.Step.CHOOSE_SERVER,
        service,
        "all usable servers asked for a pause",
        retry_after_s=pause_s,
    )


def refuse_suspected(service: str, owner: str, room_in_s: float) -> outcomes.Refused:
    """Return the refusal while the owner of a key is suspected to be full or lost."""
    return outcomes.Refused(
        outcomes.RefusalReason.CIRCUIT_OPEN,
        outcomes.Step.CHOOSE_SERVER,
        service,
        f"{owner} lost requests",
        retry_after_s=room_in_s,
    )


def refuse_no_server(service: str) -> outcomes.Refused:
    """Return the refusal for a service without a usable server."""
    return outcomes.Refused(
        outcomes.RefusalReason.NO_SERVER_AVAILABLE, outcomes.Step.CHOOSE_SERVER, service
    )


def refuse_outdated(service: str) -> outcomes.Refused:
    """Return the refusal while the servers listed may have left, and the list is being read."""
    return outcomes.Refused(
        outcomes.RefusalReason.LIST_OUTDATED, outcomes.Step.CHOOSE_SERVER, service
    )


def refuse_no_owner(service: str, detail: str) -> outcomes.Refused:
    """Return the refusal for a key without a usable owner."""
    return outcomes.Refused(
        outcomes.RefusalReason.NO_OWNER, outcomes.Step.FIND_OWNER, service, detail
    )


def refuse_expired(service: str) -> outcomes.Refused:
    """Return the refusal of a request whose deadline passed before it could be sent."""
    return outcomes.Refused(outcomes.RefusalReason.DEADLINE_EXPIRED, outcomes.Step.SEND, service)


def refuse_overloaded(service: str) -> outcomes.Refused:
    """Return the refusal of a request beyond the share that its owner can serve."""
    return outcomes.Refused(
        outcomes.RefusalReason.OVERLOADED,
        outcomes.Step.ADMIT,
        service,
        "the owner of the key can serve a part of its requests only",
    )
