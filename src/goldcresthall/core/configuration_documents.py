"""The operator's configuration as it is stored, for relay between instances."""

from __future__ import annotations

import dataclasses
import zlib


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationDocument:
    """A configuration as it is stored, for relay to other instances.

    Attributes
    ----------
    content
        The stored document, compressed by zlib.
    """

    version: int
    content: bytes

    @classmethod
    def compress(cls, version: int, stored: bytes) -> ConfigurationDocument:
        """Create a document from the stored bytes."""
        return cls(version, zlib.compress(stored))

    def decompress(self) -> bytes:
        """Return the stored bytes.

        Raises
        ------
        zlib.error
            If the content is damaged.
        """
        return zlib.decompress(self.content)
