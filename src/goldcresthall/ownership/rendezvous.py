"""Rendezvous hashing: a stable ranking of names for each subject."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

DIGEST_BYTES = 8


def hash_text(text: str) -> int:
    """Return a 64-bit hash of a text, the same in every process."""
    digest = hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES).digest()
    return int.from_bytes(digest, "big")


def find_partition(key: str, partition_count: int) -> int:
    """Return the partition of a key, below `partition_count`."""
    return hash_text(key) % partition_count


def rank_names(subject: str, names: Iterable[str]) -> tuple[str, ...]:
    """Return names ordered by their weight for a subject, the heaviest first."""
    return tuple(sorted(names, key=lambda name: hash_text(f"{subject}|{name}"), reverse=True))
