"""Encoding of the replicated state to a compressed document in pieces, and decoding."""

from __future__ import annotations

import base64
import binascii
import dataclasses
import hashlib
import zlib

from goldcresthall.encoding import documents
from goldcresthall.encoding import exceptions
from goldcresthall.replication import state as replicated

DIGEST_BYTES = 16
MAX_PIECE_CHARS = 48 * 1_024
MAX_DOCUMENT_BYTES = 256 * 1_048_576


class StateDecodeError(exceptions.EncodingError):
    """The pieces cannot be decoded to a state."""


@dataclasses.dataclass(frozen=True, slots=True)
class EncodedState:
    """The compressed document of a state in base64 pieces.

    Attributes
    ----------
    next_offset
        Offset of the first entry that is not part of the state.
    state_digest
        Digest of the uncompressed document.
    document_bytes
        Length of the uncompressed document in bytes.
    """

    next_offset: int
    state_digest: str
    document_bytes: int
    pieces: tuple[str, ...]


def compute_digest(content: bytes) -> str:
    """Return the BLAKE2b digest of a document or a piece, in hexadecimal."""
    return hashlib.blake2b(content, digest_size=DIGEST_BYTES).hexdigest()


def compute_state_digest(state: replicated.State) -> str:
    """Return the digest of a state's document; equal states give equal digests."""
    return compute_digest(documents.encode_document(state).encode())


def encode_state(state: replicated.State) -> EncodedState:
    """Encode a state to pieces of at most `MAX_PIECE_CHARS` characters."""
    document = documents.encode_document(state).encode()
    text = base64.b64encode(zlib.compress(document)).decode()
    pieces = tuple(
        text[start : start + MAX_PIECE_CHARS] for start in range(0, len(text), MAX_PIECE_CHARS)
    )
    return EncodedState(state.next_offset, compute_digest(document), len(document), pieces)


def decode_state(pieces: tuple[str, ...], state_digest: str) -> replicated.State:
    """Decode a state from the complete sequence of its pieces.

    Raises
    ------
    StateDecodeError
        If the pieces are damaged, or the document has the schema of another release.
    """
    try:
        compressed = base64.b64decode("".join(pieces), validate=True)
        decompressor = zlib.decompressobj()
        document = decompressor.decompress(compressed, MAX_DOCUMENT_BYTES)
    except (binascii.Error, zlib.error, ValueError) as error:
        raise StateDecodeError(str(error)) from error
    if not decompressor.eof or compute_digest(document) != state_digest:
        raise StateDecodeError("digest of the decoded state does not match")
    try:
        return documents.decode_document(document, replicated.State)
    except exceptions.DocumentError as error:
        raise StateDecodeError(str(error)) from error
