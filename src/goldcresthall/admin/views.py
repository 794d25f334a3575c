"""Conversion of an instance's state into messages for operators."""

from __future__ import annotations

import functools
import math
from typing import TYPE_CHECKING

from goldcresthall.admin import messages
from goldcresthall.ownership import lookup
from goldcresthall.ownership import placement
from goldcresthall.replication import commits

if TYPE_CHECKING:
    from goldcresthall.core import identity
    from goldcresthall.peers import messages as peer_messages
    from goldcresthall.presets import uptake_collector
    from goldcresthall.replication import conditions
    from goldcresthall.replication import state as replicated

NO_PRESET_OFFSET = -1


def create_status_view(
    incarnation: identity.Incarnation,
    state: replicated.State,
    condition: conditions.Condition,
    read_age_s: float,
    peers: tuple[peer_messages.PeerStatus, ...],
    *,
    ready: bool,
) -> messages.StatusView:
    """Return the status of an instance."""
    in_force = state.preset_in_force
    own = messages.InstanceView(
        incarnation.name,
        incarnation.token,
        state.next_offset,
        NO_PRESET_OFFSET if in_force is None else in_force.offset,
    )
    return messages.StatusView(
        instance=own,
        ready=ready,
        condition=condition.kind.value,
        condition_detail=condition.detail,
        snapshot_offset=state.snapshots.whole_base,
        read_age_s=_round_finite(read_age_s),
        preset_name="" if in_force is None else in_force.preset.name,
        peers=tuple(
            messages.InstanceView(peer.name, peer.incarnation, peer.next_offset, peer.preset_offset)
            for peer in peers
        ),
        servers=_create_server_views(state),
    )


def create_key_view(
    service_name: str, key: str, state: replicated.State
) -> messages.KeyView | messages.AdminFault:
    """Return the owner of a key and the decision that assigned it."""
    in_force = state.preset_in_force
    policy = in_force.preset.find_service(service_name) if in_force else None
    if policy is None or not policy.keyed:
        return messages.AdminFault("route", (f"no keyed service {service_name!r}",))
    key_owner = lookup.find_key_owner(policy, key, state)
    if key_owner.ownership is None:
        return messages.AdminFault("find_owner", (f"partition {key_owner.partition} has no owner",))
    server_state = state.servers.get(key_owner.ownership.owner)
    return messages.KeyView(
        service=service_name,
        key=key,
        partition=key_owner.partition,
        owner=key_owner.ownership.owner,
        epoch=key_owner.ownership.epoch,
        author=key_owner.ownership.author,
        reason=key_owner.ownership.reason,
        lessor="" if server_state is None else str(server_state.lessor),
        decided_at=key_owner.ownership.decided_at,
    )


def create_preset_view(state: replicated.State) -> messages.PresetView | messages.AdminFault:
    """Return the preset in force."""
    in_force = state.preset_in_force
    if in_force is None:
        return messages.AdminFault("route", ("no preset is in force",))
    return messages.PresetView(in_force.offset, in_force.author, in_force.reason, in_force.preset)


def create_preset_history(state: replicated.State) -> messages.PresetHistory:
    """Return the latest presets put in force, oldest first."""
    return messages.PresetHistory(
        tuple(
            messages.PresetHistoryEntry(entry.offset, entry.name, entry.author, entry.reason)
            for entry in state.presets
        )
    )


def create_uptake_view(report: uptake_collector.UptakeReport) -> messages.UptakeView:
    """Return which instances have a preset in force."""
    return messages.UptakeView(
        offset=report.offset,
        instances=tuple(
            messages.InstanceUptake(
                name=entry.name,
                status=entry.status.value,
                preset_offset=entry.preset_offset,
                heard_age_s=_round_finite(entry.heard_age_s),
                listed=entry.listed,
            )
            for entry in report.instances
        ),
        list_age_s=_round_finite(report.list_age_s),
        list_is_current=report.list_is_current,
    )


def _round_finite(seconds: float) -> float | None:
    return round(seconds, 3) if math.isfinite(seconds) else None


@functools.singledispatch
def create_publish_result(outcome: commits.CommitOutcome) -> messages.PublishResult:
    """Return the result of a publication, by the type of its commit's outcome."""
    raise NotImplementedError(type(outcome).__name__)


@create_publish_result.register
def _(outcome: commits.CommitAccepted) -> messages.PublishResult:
    return messages.PublishResult("accepted", outcome.offset, "")


@create_publish_result.register
def _(outcome: commits.CommitRejected) -> messages.PublishResult:
    return messages.PublishResult("rejected", -1, f"{outcome.reason.value}: {outcome.detail}")


@create_publish_result.register
def _(outcome: commits.CommitFailed) -> messages.PublishResult:
    return messages.PublishResult("failed", -1, outcome.detail)


@create_publish_result.register
def _(outcome: commits.CommitUnknown) -> messages.PublishResult:
    return messages.PublishResult("unknown", -1, outcome.detail)


def _create_server_views(state: replicated.State) -> tuple[messages.ServerView, ...]:
    return tuple(
        messages.ServerView(
            name=name,
            lessor=str(server_state.lessor),
            lessor_epoch=server_state.epoch,
            lost=server_state.lost,
            partitions=len(placement.list_owned(name, state)),
        )
        for name, server_state in sorted(state.servers.items())
    )
