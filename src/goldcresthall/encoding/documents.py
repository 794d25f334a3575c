"""Strict decoding of JSON documents into frozen data classes, and back."""

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

SHOWN_VALUE_LENGTH = 60


def decode_document(text: str | bytes, kind: type[Decoded]) -> Decoded:
    """Decode a JSON document, reporting every fault at once.

    Raises
    ------
    DocumentError
        If the text is not JSON, or has missing, unknown or wrongly typed fields.
    """
    try:
        value = json.loads(text)
    except (ValueError, RecursionError) as error:
        fault = exceptions.Fault("$", "", f"a JSON document ({error})")
        raise exceptions.DocumentError((fault,)) from error
    return decode_json_value(value, kind)


def decode_json_value(value: Any, kind: type[Decoded]) -> Decoded:
    """Decode what `json` read into a data class, reporting every fault at once.

    Raises
    ------
    DocumentError
        If fields are missing, unknown or of a wrong type.
    """
    faults: list[exceptions.Fault] = []
    decoded = _decode(value, kind, "$", faults)
    if faults:
        raise exceptions.DocumentError(tuple(faults))
    return typing.cast("Decoded", decoded)


def encode_document(value: object) -> str:
    """Return a data class as compact JSON with sorted fields."""
    return json.dumps(to_json_value(value), sort_keys=True, separators=(",", ":"))


def to_json_value(value: Any) -> Any:
    """Return data classes, enumerations and tuples as what `json` can write."""
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
        return _list_pairs(value)
    return value


def _list_pairs(mapping: pyrsistent.PMap[Any, Any]) -> list[Any]:
    # JSON has text keys only, and equal maps must give equal documents.
    pairs = [[to_json_value(key), to_json_value(value)] for key, value in mapping.items()]
    return sorted(pairs, key=lambda pair: json.dumps(pair[0], sort_keys=True))


def _decode(value: Any, kind: Any, path: str, faults: list[exceptions.Fault]) -> Any:
    if dataclasses.is_dataclass(kind):
        return _decode_dataclass(value, typing.cast("type", kind), path, faults)
    if typing.get_origin(kind) is tuple:
        return _decode_tuple(value, typing.get_args(kind)[0], path, faults)
    if typing.get_origin(kind) is pyrsistent_typing.PMap:
        return _decode_pairs(value, typing.get_args(kind), path, faults)
    if isinstance(kind, types.UnionType):
        return _decode_optional(value, kind, path, faults)
    if isinstance(kind, type) and issubclass(kind, enum.Enum):
        return _decode_enum(value, kind, path, faults)
    return _decode_scalar(value, kind, path, faults)


def _decode_dataclass(value: Any, kind: type, path: str, faults: list[exceptions.Fault]) -> Any:
    if not isinstance(value, dict):
        faults.append(_fault(path, value, "an object"))
        return None
    hints = _find_hints(kind)
    fields = {field.name: field for field in dataclasses.fields(kind)}
    faults.extend(
        _fault(f"{path}.{name}", value[name], f"no such field; known: {', '.join(fields)}")
        for name in value
        if name not in fields
    )
    before = len(faults)
    arguments: dict[str, Any] = {}
    for name, field in fields.items():
        if name in value:
            arguments[name] = _decode(value[name], hints[name], f"{path}.{name}", faults)
        elif field.default is dataclasses.MISSING and field.default_factory is dataclasses.MISSING:
            faults.append(exceptions.Fault(f"{path}.{name}", "", "a value; the field is missing"))
    return kind(**arguments) if len(faults) == before else None


@functools.cache
def _find_hints(kind: type) -> dict[str, Any]:
    return typing.get_type_hints(kind)


def _decode_pairs(
    value: Any, kinds: tuple[Any, ...], path: str, faults: list[exceptions.Fault]
) -> Any:
    pairs = value if isinstance(value, list) else [value]
    decoded: list[tuple[Any, Any]] = []
    before = len(faults)
    for index, pair in enumerate(pairs):
        if not isinstance(pair, list) or len(pair) != len(kinds):
            faults.append(_fault(f"{path}[{index}]", pair, "a list of a key and a value"))
            continue
        key = _decode(pair[0], kinds[0], f"{path}[{index}][0]", faults)
        decoded.append((key, _decode(pair[1], kinds[1], f"{path}[{index}][1]", faults)))
    return pyrsistent.pmap(dict(decoded)) if len(faults) == before else None


def _decode_tuple(value: Any, item: Any, path: str, faults: list[exceptions.Fault]) -> Any:
    if not isinstance(value, list):
        faults.append(_fault(path, value, "a list"))
        return ()
    return tuple(
        _decode(element, item, f"{path}[{index}]", faults) for index, element in enumerate(value)
    )


def _decode_optional(
    value: Any, kind: types.UnionType, path: str, faults: list[exceptions.Fault]
) -> Any:
    if value is None:
        return None
    inner = next(member for member in typing.get_args(kind) if member is not types.NoneType)
    return _decode(value, inner, path, faults)


def _decode_enum(
    value: Any, kind: type[enum.Enum], path: str, faults: list[exceptions.Fault]
) -> Any:
    try:
        return kind(value)
    except ValueError:
        names = ", ".join(repr(member.value) for member in kind)
        faults.append(_fault(path, value, f"one of {names}"))
        return None


def _decode_scalar(value: Any, kind: type, path: str, faults: list[exceptions.Fault]) -> Any:
    if kind is float and type(value) is int:
        return float(value)
    if type(value) is not kind:
        faults.append(_fault(path, value, f"a value of type {kind.__name__}"))
        return None
    return value


def _fault(path: str, value: Any, expected: str) -> exceptions.Fault:
    shown = json.dumps(value)
    if len(shown) > SHOWN_VALUE_LENGTH:
        shown = shown[:SHOWN_VALUE_LENGTH] + "..."
    return exceptions.Fault(path, shown, expected)
