"""Tests of the admin messages for operators."""

from __future__ import annotations

import dataclasses

import pyrsistent

from goldcresthall.admin import messages
from goldcresthall.admin import views
from goldcresthall.core import preset
from goldcresthall.replication import state as replicated

DECIDED_AT = "2026-12-04T10:00:00+00:00"


def test_key_view_contains_owner_epoch_and_decision(archive_policy: preset.ServicePolicy) -> None:
    policy = dataclasses.replace(archive_policy, partitions=1)
    published = preset.Preset(name="day", services=(policy,))
    owned = replicated.Ownership("archive-2", 7, "router-1", "lease ran out", DECIDED_AT)
    state = dataclasses.replace(
        replicated.State.create_empty(),
        preset_in_force=replicated.PresetInForce(published, 0, "operator", "test"),
        partitions=pyrsistent.pmap({replicated.PartitionId("archive", 0): owned}),
    )
    view = views.create_key_view("archive", "molde", state)
    assert isinstance(view, messages.KeyView)
    assert (view.owner, view.epoch, view.reason) == ("archive-2", 7, "lease ran out")
    assert view.decided_at == DECIDED_AT
    assert isinstance(views.create_key_view("other", "molde", state), messages.AdminFault)
