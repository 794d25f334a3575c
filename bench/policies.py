"""The routers compared in one run: the product and the baselines."""

from __future__ import annotations

import dataclasses
import functools
import pathlib
import sys

BASELINE_MAX_TRIES = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Product:
    """The product as it ships."""

    name: str = "product"


@dataclasses.dataclass(frozen=True, slots=True)
class Baseline:
    """A pass-through router without request classes, admission control or a retry budget."""

    name: str
    choice: str


Policy = Product | Baseline

POLICIES: tuple[Policy, ...] = (
    Product(),
    Baseline("round robin", "round_robin"),
    Baseline("random choice", "random"),
)


@functools.singledispatch
def create_router_command(policy: Policy, preset_file: pathlib.Path, seed: int) -> tuple[str, ...]:
    """Return the command that runs a router instance under a policy."""
    raise NotImplementedError(type(policy).__name__)


@create_router_command.register
def _(policy: Product, preset_file: pathlib.Path, seed: int) -> tuple[str, ...]:
    return (sys.executable, "-m", "goldcresthall")


@create_router_command.register
def _(policy: Baseline, preset_file: pathlib.Path, seed: int) -> tuple[str, ...]:
    options = {
        "--preset-file": str(preset_file),
        "--choice": policy.choice,
        "--tries": str(BASELINE_MAX_TRIES),
        "--seed": str(seed),
    }
    arguments = tuple(text for pair in options.items() for text in pair)
    return (sys.executable, "-m", "bench.thin_router", *arguments)


@functools.singledispatch
def uses_published_preset(policy: Policy) -> bool:
    """Return whether the router gets its preset through the log instead of a file."""
    raise NotImplementedError(type(policy).__name__)


@uses_published_preset.register
def _(policy: Product) -> bool:
    return True


@uses_published_preset.register
def _(policy: Baseline) -> bool:
    return False
