"""Typed access to the fields of the platform's JSON and TOML documents."""

from __future__ import annotations

import json
import math
from typing import Any

from goldcresthall.core import identity
from goldcresthall.platform import exceptions

MAX_PORT = 65_535


def parse_object(content: bytes) -> dict[str, Any]:
    """Parse a JSON object.

    Raises
    ------
    MalformedEntryError
        If the content is not a JSON object.
    """
    try:
        value = json.loads(content)
    except (ValueError, RecursionError) as error:
        raise exceptions.MalformedEntryError(f"invalid JSON: {error}") from error
    if not isinstance(value, dict):
        raise exceptions.MalformedEntryError("not a JSON object")
    return value


def read_text(document: dict[str, Any], name: str) -> str:
    """Return the non-empty string in a field.

    Raises
    ------
    MalformedEntryError
        If the field is missing or has any other value.
    """
    value = document.get(name)
    if not isinstance(value, str) or not value:
        raise exceptions.MalformedEntryError(f"{name}: must be a non-empty string")
    return value


def read_number(document: dict[str, Any], name: str, default: float | None = None) -> float:
    """Return the finite, non-negative number in a field.

    Raises
    ------
    MalformedEntryError
        If the field has any other value, or is missing and there is no default.
    """
    value = document.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise exceptions.MalformedEntryError(f"{name}: must be a number")
    if not math.isfinite(value) or value < 0:
        raise exceptions.MalformedEntryError(f"{name}: {value} is negative or not finite")
    return float(value)


def read_count(document: dict[str, Any], name: str, default: int | None = None) -> int:
    """Return the non-negative integer in a field.

    Raises
    ------
    MalformedEntryError
        If the field has any other value, or is missing and there is no default.
    """
    value = document.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise exceptions.MalformedEntryError(f"{name}: must be a non-negative integer")
    return value


def read_list(document: dict[str, Any], name: str) -> list[dict[str, Any]]:
    """Return the list of objects in a field; empty if the field is missing.

    Raises
    ------
    MalformedEntryError
        If the field has any other value.
    """
    value = document.get(name, [])
    if not isinstance(value, list) or not all(isinstance(item, dict) for item in value):
        raise exceptions.MalformedEntryError(f"{name}: must be a list of objects")
    return value


def read_object(document: dict[str, Any], name: str) -> dict[str, Any]:
    """Return the object in a field; empty if the field is missing.

    Raises
    ------
    MalformedEntryError
        If the field has any other value.
    """
    value = document.get(name, {})
    if not isinstance(value, dict):
        raise exceptions.MalformedEntryError(f"{name}: must be an object")
    return value


def read_address(document: dict[str, Any], name: str) -> identity.Address:
    """Return the address in a field of the form ``IP:PORT``.

    Raises
    ------
    MalformedEntryError
        If the field is missing or has any other value.
    """
    host, _, port = read_text(document, name).rpartition(":")
    if not host or not port.isascii() or not port.isdigit() or not 0 < int(port) <= MAX_PORT:
        raise exceptions.MalformedEntryError(f"{name}: must have the form IP:PORT")
    return identity.Address(host, int(port))
