"""Reading of the JSON files that operators write."""

from __future__ import annotations

import pathlib
from typing import TypeVar

from goldcresthall.application import settings_checks
from goldcresthall.console import exceptions
from goldcresthall.core import preset
from goldcresthall.core import settings
from goldcresthall.encoding import documents
from goldcresthall.encoding import exceptions as encoding_exceptions
from goldcresthall.presets import validation

Document = TypeVar("Document")


def read_document(path: str, kind: type[Document]) -> Document:
    """Read and check a JSON file.

    Raises
    ------
    InvalidDocumentError
        If the file cannot be read or has faults, all of which are listed.
    """
    try:
        return documents.decode_document(pathlib.Path(path).read_bytes(), kind)
    except OSError as error:
        raise exceptions.InvalidDocumentError(str(error)) from error
    except encoding_exceptions.DocumentError as error:
        raise exceptions.InvalidDocumentError(_list_faults(path, error.faults)) from error


def read_settings(path: str) -> settings.Settings:
    """Read an instance's settings and check them in whole.

    Raises
    ------
    InvalidDocumentError
        If they have faults.
    """
    document = read_document(path, settings.Settings)
    faults = settings_checks.check_settings(document)
    if faults:
        raise exceptions.InvalidDocumentError(_list_faults(path, faults))
    return document


def require_path(path: str | None) -> str:
    """Return the path of a settings file.

    Raises
    ------
    InvalidDocumentError
        If none was given.
    """
    if not path:
        raise exceptions.InvalidDocumentError("no settings file was named")
    return path


def read_preset(path: str) -> preset.Preset:
    """Read a preset and check it in whole.

    Raises
    ------
    InvalidDocumentError
        If it has faults.
    """
    document = read_document(path, preset.Preset)
    faults = validation.validate_preset(document)
    if faults:
        raise exceptions.InvalidDocumentError(_list_faults(path, faults))
    return document


def _list_faults(path: str, faults: tuple[encoding_exceptions.Fault, ...]) -> str:
    return "\n".join((f"{path}: {len(faults)} fault(s)", *(f"  {fault}" for fault in faults)))
