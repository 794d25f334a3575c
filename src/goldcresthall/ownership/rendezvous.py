"""Rendezvous hashing: a stable ranking of node names for each subject."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

DIGEST_BYTES = 8


def hash_text(text: str) -> int:
    """Return a 64-bit hash of a text that is the same in every process."""
    digest = hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES).digest()
    return int.from_bytes(digest, "big")


def find_partition(key: str, partition_count: int) -> int:
    """Return the partition number of a key, from 0 to `partition_count` - 1."""
    return hash_text(key) % partition_count


def rank_names(subject: str, names: Iterable[str]) -> tuple[str, ...]:
    """Return names ordered by descending rendezvous weight for a subject."""
    return tuple(sorted(names, key=lambda name: hash_text(f"{subject}|{name}"), reverse=True))
