"""Entry point of ``python -m goldcresthall`` and of the built archive."""

from __future__ import annotations

from goldcresthall.console import application

if __name__ == "__main__":
    application.main()
