"""Tests of the list of current and removed servers in the soak deployment."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import pytest

from tests.soak import deployment

if TYPE_CHECKING:
    import pathlib


def test_server_removed_by_two_faults_is_listed_once(tmp_path: pathlib.Path) -> None:
    soak_deployment = deployment.SoakDeployment(
        tmp_path, deployment.DeploymentSize(instances=0), random.Random(1)
    )
    soak_deployment.store.start()
    soak_deployment.add_server("agenda")
    removed = soak_deployment.unkeyed[0]
    soak_deployment.remove_server(removed)
    with pytest.raises(ValueError, match="not in list"):
        soak_deployment.remove_server(removed)
    assert soak_deployment._list_servers("agenda") == [removed]
    soak_deployment.stop()
