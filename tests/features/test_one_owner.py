"""Scenarios of one_owner.feature."""

from __future__ import annotations

import pytest_bdd

pytest_bdd.scenarios("one_owner.feature")
