"""goldcresthall: a router for servers that own keys exclusively."""

from __future__ import annotations

from typing import Final

VERSION: Final = "0.1.0"
