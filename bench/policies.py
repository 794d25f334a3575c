"""What is compared in one run: the product and the baselines."""

from __future__ import annotations

import dataclasses
import functools
import pathlib
import sys

BASELINE_TRIES = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Product:
    """The product as it ships."""

    name: str = "product"


@dataclasses.dataclass(frozen=True, slots=True)
class Baseline:
    """A bare pass-through: no classes, no admission, retries without a budget."""

    name: str
    choice: str


Policy = Product | Baseline

POLICIES: tuple[Policy, ...] = (
    Product(),
    Baseline("round robin", "round_robin"),
    Baseline("random choice", "random"),
)


@functools.singledispatch
def create_program(policy: Policy, preset_file: pathlib.Path, seed: int) -> tuple[str, ...]:
    """Return the command that runs a router instance under a policy."""
    raise NotImplementedError(type(policy).__name__)


@create_program.register
def _(policy: Product, preset_file: pathlib.Path, seed: int) -> tuple[str, ...]:
    return (sys.executable, "-m", "goldcresthall")


@create_program.register
def _(policy: Baseline, preset_file: pathlib.Path, seed: int) -> tuple[str, ...]:
    options = {
        "--preset-file": str(preset_file),
        "--choice": policy.choice,
        "--tries": str(BASELINE_TRIES),
        "--seed": str(seed),
    }
    flat = tuple(text for pair in options.items() for text in pair)
    return (sys.executable, "-m", "bench.thin_router", *flat)


@functools.singledispatch
def needs_publication(policy: Policy) -> bool:
    """Return whether the preset is published through the log."""
    raise NotImplementedError(type(policy).__name__)


@needs_publication.register
def _(policy: Product) -> bool:
    return True


@needs_publication.register
def _(policy: Baseline) -> bool:
    return False
