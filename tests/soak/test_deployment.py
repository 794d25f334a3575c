"""Tests of the soak's own record of servers."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import pytest

from tests.soak import deployment

if TYPE_CHECKING:
    import pathlib


def test_a_server_that_two_faults_take_is_counted_once(tmp_path: pathlib.Path) -> None:
    created = deployment.SoakWorld(tmp_path, deployment.Size(instances=0), random.Random(1))
    created.store.start()
    created.add_server("agenda")
    taken = created.plain[0]
    created.remove_server(taken)
    with pytest.raises(ValueError, match="not in list"):
        created.remove_server(taken)
    assert created._list_all("agenda") == [taken]
    created.stop()
