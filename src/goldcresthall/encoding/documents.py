"""Strict decoding of JSON documents into frozen data classes, and their encoding."""

from __future__ import annotations

import dataclasses
import enum
import functools
import json
import types
import typing
from typing import Any
from typing import TypeVar

import pyrsistent
from pyrsistent import typing as pyrsistent_typing

from goldcresthall.encoding import exceptions

Decoded = TypeVar("Decoded")

MAX_SHOWN_VALUE_CHARS = 60


def decode_document(text: str | bytes, target_type: type[Decoded]) -> Decoded:
    """Decode a JSON document and report all faults at once.

    Raises
    ------
    DocumentError
        If the text is not JSON, or fields are missing, unknown or of the wrong type.
    """
    try:
        value = json.loads(text)
    except (ValueError, RecursionError) as error:
        fault = exceptions.Fault("$", "", f"a JSON document ({error})")
        raise exceptions.DocumentError((fault,)) from error
    return decode_json_value(value, target_type)


def decode_json_value(value: Any, target_type: type[Decoded]) -> Decoded:
    """Decode a parsed JSON value into a data class and report all faults at once.

    Raises
    ------
    DocumentError
        If fields are missing, unknown or of the wrong type.
    """
    faults: list[exceptions.Fault] = []
    decoded = _decode(value, target_type, "$", faults)
    if faults:
        raise exceptions.DocumentError(tuple(faults))
    return typing.cast("Decoded", decoded)


def encode_document(value: object) -> str:
    """Return a data class as compact JSON with sorted fields."""
    return json.dumps(to_json_value(value), sort_keys=True, separators=(",", ":"))


def to_json_value(value: Any) -> Any:
    """Return data classes, enums and tuples as values that `json` can serialize."""
    if dataclasses.is_dataclass(value):
        return {
            field.name: to_json_value(getattr(value, field.name))
            for field in dataclasses.fields(value)
        }
    if isinstance(value, enum.Enum):
        return value.value
    if isinstance(value, tuple | list):
        return [to_json_value(item) for item in value]
    if isinstance(value, pyrsistent.PMap):
        return _encode_map(value)
    return value


def _encode_map(mapping: pyrsistent.PMap[Any, Any]) -> list[Any]:
    # JSON objects allow only string keys, and equal maps must produce equal documents.
    pairs = [[to_json_value(key), to_json_value(value)] for key, value in mapping.items()]
    return sorted(pairs, key=lambda pair: json.dumps(pair[0], sort_keys=True))


def _decode(value: Any, target_type: Any, path: str, faults: list[exceptions.Fault]) -> Any:
    if dataclasses.is_dataclass(target_type):
        return _decode_dataclass(value, typing.cast("type", target_type), path, faults)
    if typing.get_origin(target_type) is tuple:
        return _decode_tuple(value, typing.get_args(target_type)[0], path, faults)
    if typing.get_origin(target_type) is pyrsistent_typing.PMap:
        return _decode_map(value, typing.get_args(target_type), path, faults)
    if isinstance(target_type, types.UnionType):
        return _decode_optional(value, target_type, path, faults)
    if isinstance(target_type, type) and issubclass(target_type, enum.Enum):
        return _decode_enum(value, target_type, path, faults)
    return _decode_scalar(value, target_type, path, faults)


def _decode_dataclass(
    value: Any, target_type: type, path: str, faults: list[exceptions.Fault]
) -> Any:
    if not isinstance(value, dict):
        faults.append(_fault(path, value, "an object"))
        return None
    hints = _find_type_hints(target_type)
    fields = {field.name: field for field in dataclasses.fields(target_type)}
    faults.extend(
        _fault(f"{path}.{name}", value[name], f"no such field; known fields: {', '.join(fields)}")
        for name in value
        if name not in fields
    )
    fault_count = len(faults)
    arguments: dict[str, Any] = {}
    for name, field in fields.items():
        if name in value:
            arguments[name] = _decode(value[name], hints[name], f"{path}.{name}", faults)
        elif field.default is dataclasses.MISSING and field.default_factory is dataclasses.MISSING:
            faults.append(exceptions.Fault(f"{path}.{name}", "", "a value; the field is required"))
    return target_type(**arguments) if len(faults) == fault_count else None


@functools.cache
def _find_type_hints(target_type: type) -> dict[str, Any]:
    return typing.get_type_hints(target_type)


def _decode_map(
    value: Any, target_types: tuple[Any, ...], path: str, faults: list[exceptions.Fault]
) -> Any:
    pairs = value if isinstance(value, list) else [value]
    decoded: list[tuple[Any, Any]] = []
    fault_count = len(faults)
    for index, pair in enumerate(pairs):
        if not isinstance(pair, list) or len(pair) != len(target_types):
            faults.append(_fault(f"{path}[{index}]", pair, "a list of a key and a value"))
            continue
        key = _decode(pair[0], target_types[0], f"{path}[{index}][0]", faults)
        decoded.append((key, _decode(pair[1], target_types[1], f"{path}[{index}][1]", faults)))
    return pyrsistent.pmap(dict(decoded)) if len(faults) == fault_count else None


def _decode_tuple(value: Any, item_type: Any, path: str, faults: list[exceptions.Fault]) -> Any:
    if not isinstance(value, list):
        faults.append(_fault(path, value, "a list"))
        return ()
    return tuple(
        _decode(element, item_type, f"{path}[{index}]", faults)
        for index, element in enumerate(value)
    )


def _decode_optional(
    value: Any, target_type: types.UnionType, path: str, faults: list[exceptions.Fault]
) -> Any:
    if value is None:
        return None
    inner = next(member for member in typing.get_args(target_type) if member is not types.NoneType)
    return _decode(value, inner, path, faults)


def _decode_enum(
    value: Any, target_type: type[enum.Enum], path: str, faults: list[exceptions.Fault]
) -> Any:
    try:
        return target_type(value)
    except ValueError:
        names = ", ".join(repr(member.value) for member in target_type)
        faults.append(_fault(path, value, f"one of {names}"))
        return None


def _decode_scalar(value: Any, target_type: type, path: str, faults: list[exceptions.Fault]) -> Any:
    if target_type is float and type(value) is int:
        return float(value)
    if type(value) is not target_type:
        faults.append(_fault(path, value, f"a value of type {target_type.__name__}"))
        return None
    return value


def _fault(path: str, value: Any, expected: str) -> exceptions.Fault:
    shown = json.dumps(value)
    if len(shown) > MAX_SHOWN_VALUE_CHARS:
        shown = shown[:MAX_SHOWN_VALUE_CHARS] + "..."
    return exceptions.Fault(path, shown, expected)
