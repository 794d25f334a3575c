"""The replicated state as a document, in checked pieces, and back."""

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
    """Pieces do not make up a whole state."""


@dataclasses.dataclass(frozen=True, slots=True)
class EncodedState:
    """A state's compressed document in pieces.

    Attributes
    ----------
    next_offset
        Offset of the first entry that the state does not hold.
    state_digest
        Digest of the uncompressed document.
    document_bytes
        Length of the uncompressed document.
    """

    next_offset: int
    state_digest: str
    document_bytes: int
    pieces: tuple[str, ...]


def compute_digest(content: bytes) -> str:
    """Return the digest of a document or a piece."""
    return hashlib.blake2b(content, digest_size=DIGEST_BYTES).hexdigest()


def compute_state_digest(state: replicated.State) -> str:
    """Return the digest of a state's document; equal states give equal digests."""
    return compute_digest(documents.encode_document(state).encode())


def encode_state(state: replicated.State) -> EncodedState:
    """Return a state as pieces of at most `MAX_PIECE_CHARS` characters."""
    document = documents.encode_document(state).encode()
    text = base64.b64encode(zlib.compress(document)).decode()
    pieces = tuple(
        text[start : start + MAX_PIECE_CHARS] for start in range(0, len(text), MAX_PIECE_CHARS)
    )
    return EncodedState(state.next_offset, compute_digest(document), len(document), pieces)


def decode_state(pieces: tuple[str, ...], state_digest: str) -> replicated.State:
    """Return the state of a whole sequence of pieces.

    Raises
    ------
    StateDecodeError
        If the pieces are damaged, or the state is of another release's shape.
    """
    try:
        compressed = base64.b64decode("".join(pieces), validate=True)
        decompressor = zlib.decompressobj()
        document = decompressor.decompress(compressed, MAX_DOCUMENT_BYTES)
    except (binascii.Error, zlib.error, ValueError) as error:
        raise StateDecodeError(str(error)) from error
    if not decompressor.eof or compute_digest(document) != state_digest:
        raise StateDecodeError("the digest of the state differs")
    try:
        return documents.decode_document(document, replicated.State)
    except exceptions.DocumentError as error:
        raise StateDecodeError(str(error)) from error
