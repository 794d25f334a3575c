"""Tests of the settings of the memory allocator."""

from __future__ import annotations

import ctypes
from typing import TYPE_CHECKING

from goldcresthall.kernel import allocator

if TYPE_CHECKING:
    import pytest


class _OtherLibrary:
    """A C library without the function, as on systems that do not use glibc."""


def test_other_c_library_keeps_its_defaults(monkeypatch: pytest.MonkeyPatch) -> None:
    """An instance must start on every system."""
    monkeypatch.setattr(ctypes, "CDLL", lambda name: _OtherLibrary())
    allocator.configure()
