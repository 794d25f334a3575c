"""Reading of operators' JSON files."""

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


def read_document(path: str, target_type: type[Document]) -> Document:
    """Read and decode a JSON file.

    Raises
    ------
    InvalidDocumentError
        If the file cannot be read or has faults; all faults are listed.
    """
    try:
        return documents.decode_document(pathlib.Path(path).read_bytes(), target_type)
    except OSError as error:
        raise exceptions.InvalidDocumentError(str(error)) from error
    except encoding_exceptions.DocumentError as error:
        raise exceptions.InvalidDocumentError(_format_faults(path, error.faults)) from error


def read_settings(path: str) -> settings.Settings:
    """Read and check an instance's settings.

    Raises
    ------
    InvalidDocumentError
        If the file cannot be read or has faults.
    """
    document = read_document(path, settings.Settings)
    faults = settings_checks.check_settings(document)
    if faults:
        raise exceptions.InvalidDocumentError(_format_faults(path, faults))
    return document


def require_path(path: str | None) -> str:
    """Return the path of a settings file.

    Raises
    ------
    InvalidDocumentError
        If no path was given.
    """
    if not path:
        raise exceptions.InvalidDocumentError("no settings file was given")
    return path


def read_preset(path: str) -> preset.Preset:
    """Read and check a preset.

    Raises
    ------
    InvalidDocumentError
        If the file cannot be read or has faults.
    """
    document = read_document(path, preset.Preset)
    faults = validation.validate_preset(document)
    if faults:
        raise exceptions.InvalidDocumentError(_format_faults(path, faults))
    return document


def _format_faults(path: str, faults: tuple[encoding_exceptions.Fault, ...]) -> str:
    return "\n".join((f"{path}: {len(faults)} fault(s)", *(f"  {fault}" for fault in faults)))
