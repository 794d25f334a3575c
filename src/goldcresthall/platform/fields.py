"""Typed access to the fields of the platform's JSON and TOML documents."""

from __future__ import annotations

import ipaddress
import json
from typing import Any
from typing import Final

from goldcresthall.core import identity
from goldcresthall.platform import exceptions

MAX_PORT: Final = 65_535
MAX_PORT_DIGITS: Final = 5
MAX_TEXT_LENGTH: Final = 1_024
# Peers exchange counts as signed 32-bit integers, and durations as such of milliseconds.
MAX_COUNT: Final = 2**31 - 1
MAX_NUMBER: Final = 2_000_000.0
MAX_TIMESTAMP_MS: Final = 2**53
MAX_SEQUENCE: Final = 2**63 - 1


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
        If the field is missing or has any other value, or one that UTF-8 cannot encode.
    """
    return check_text(document.get(name), name)


def check_text(value: object, name: str) -> str:
    """Return a value that is a non-empty string.

    Raises
    ------
    MalformedEntryError
        If it is any other value, or one that UTF-8 cannot encode.
    """
    if not isinstance(value, str) or not 0 < len(value) <= MAX_TEXT_LENGTH:
        raise exceptions.MalformedEntryError(
            f"{name}: must be a string of 1 to {MAX_TEXT_LENGTH} characters"
        )
    try:
        value.encode()
    except UnicodeEncodeError as error:
        raise exceptions.MalformedEntryError(f"{name}: {error}") from error
    return value


def read_number(document: dict[str, Any], name: str, default: float | None = None) -> float:
    """Return the number from 0 to `MAX_NUMBER` in a field.

    Raises
    ------
    MalformedEntryError
        If the field has any other value, or is missing and there is no default.
    """
    value = document.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise exceptions.MalformedEntryError(f"{name}: must be a number")
    # The comparison is false for NaN, and exact for integers that no float can represent.
    if not 0 <= value <= MAX_NUMBER:
        raise exceptions.MalformedEntryError(f"{name}: must be from 0 to {MAX_NUMBER}")
    return float(value)


def read_count(
    document: dict[str, Any], name: str, default: int | None = None, maximum: int = MAX_COUNT
) -> int:
    """Return the integer from 0 to `maximum` in a field.

    Raises
    ------
    MalformedEntryError
        If the field has any other value, or is missing and there is no default.
    """
    value = document.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int) or not 0 <= value <= maximum:
        raise exceptions.MalformedEntryError(f"{name}: must be an integer from 0 to {maximum}")
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
    is_number = port.isascii() and port.isdigit() and len(port) <= MAX_PORT_DIGITS
    if not _is_ip_address(host) or not is_number or not 0 < int(port) <= MAX_PORT:
        raise exceptions.MalformedEntryError(f"{name}: must have the form IP:PORT")
    return identity.Address(host, int(port))


def _is_ip_address(text: str) -> bool:
    try:
        ipaddress.IPv4Address(text)
    except ValueError:
        return False
    return True
