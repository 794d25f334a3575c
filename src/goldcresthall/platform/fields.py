"""Typed reading of the fields of a document of the platform."""

from __future__ import annotations

import json
import math
from typing import Any

from goldcresthall.core import identity
from goldcresthall.platform import exceptions

MAX_PORT = 65_535


def parse_object(content: bytes) -> dict[str, Any]:
    """Return a JSON object.

    Raises
    ------
    MalformedEntryError
        If the content is anything else.
    """
    try:
        value = json.loads(content)
    except (ValueError, RecursionError) as error:
        raise exceptions.MalformedEntryError(f"not JSON: {error}") from error
    if not isinstance(value, dict):
        raise exceptions.MalformedEntryError("not an object")
    return value


def read_text(document: dict[str, Any], name: str) -> str:
    """Return a text that is not empty.

    Raises
    ------
    MalformedEntryError
        If the field is missing or anything else.
    """
    value = document.get(name)
    if not isinstance(value, str) or not value:
        raise exceptions.MalformedEntryError(f"{name}: a text is needed")
    return value


def read_number(document: dict[str, Any], name: str, default: float | None = None) -> float:
    """Return a finite number that is not negative.

    Raises
    ------
    MalformedEntryError
        If the field is anything else, or missing without a default.
    """
    value = document.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise exceptions.MalformedEntryError(f"{name}: a number is needed")
    if not math.isfinite(value) or value < 0:
        raise exceptions.MalformedEntryError(f"{name}: {value} is out of range")
    return float(value)


def read_count(document: dict[str, Any], name: str, default: int | None = None) -> int:
    """Return a whole number that is not negative.

    Raises
    ------
    MalformedEntryError
        If the field is anything else, or missing without a default.
    """
    value = document.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise exceptions.MalformedEntryError(f"{name}: a whole number is needed")
    return value


def read_list(document: dict[str, Any], name: str) -> list[dict[str, Any]]:
    """Return a list of objects; an absent one is empty.

    Raises
    ------
    MalformedEntryError
        If the field is anything else.
    """
    value = document.get(name, [])
    if not isinstance(value, list) or not all(isinstance(item, dict) for item in value):
        raise exceptions.MalformedEntryError(f"{name}: a list of objects is needed")
    return value


def read_object(document: dict[str, Any], name: str) -> dict[str, Any]:
    """Return an object; an absent one is empty.

    Raises
    ------
    MalformedEntryError
        If the field is anything else.
    """
    value = document.get(name, {})
    if not isinstance(value, dict):
        raise exceptions.MalformedEntryError(f"{name}: an object is needed")
    return value


def read_address(document: dict[str, Any], name: str) -> identity.Address:
    """Return an address of the form ``IP:PORT``.

    Raises
    ------
    MalformedEntryError
        If the field is missing or anything else.
    """
    host, _, port = read_text(document, name).rpartition(":")
    if not host or not port.isascii() or not port.isdigit() or not 0 < int(port) <= MAX_PORT:
        raise exceptions.MalformedEntryError(f"{name}: IP:PORT is needed")
    return identity.Address(host, int(port))
