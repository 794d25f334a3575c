"""Idempotency keys as sent by callers, and digests of the requests they identify."""

from __future__ import annotations

import dataclasses
import hashlib
import re
from typing import TYPE_CHECKING
from typing import Final

from goldcresthall.core import intents

if TYPE_CHECKING:
    from goldcresthall.core import requests

DIGEST_BYTES: Final = 16
KEY_PATTERN: Final = re.compile(r"([0-9]{1,18})\.([\x21-\x7e]{1,128})")


@dataclasses.dataclass(frozen=True, slots=True)
class DeduplicatedRequest:
    """A non-idempotent request, identified by its service and idempotency key.

    Attributes
    ----------
    digest
        Digest of the method, path, query, ownership key and body of the request.
    deadline_s
        Clock reading by which the caller must have a response.
    """

    service: str
    key: intents.IdempotencyKey
    digest: str
    deadline_s: float


def parse_key(text: str) -> intents.IdempotencyKey | None:
    """Return the key of a header value ``offset.text``, or `None` if it is malformed."""
    matched = KEY_PATTERN.fullmatch(text)
    if matched is None:
        return None
    return intents.IdempotencyKey(int(matched.group(1)), matched.group(2))


def digest_request(request: requests.Request) -> str:
    """Return a digest of all parts of a request that determine its effect."""
    hasher = hashlib.blake2b(digest_size=DIGEST_BYTES)
    texts = (request.method, request.path, request.query, request.key)
    for part in (*(text.encode() for text in texts), request.body):
        hasher.update(len(part).to_bytes(8, "big"))
        hasher.update(part)
    return hasher.hexdigest()


def digest_body(body: bytes) -> str:
    """Return a digest of a response body."""
    return hashlib.blake2b(body, digest_size=DIGEST_BYTES).hexdigest()
